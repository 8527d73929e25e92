/*
 * The host list of fake-platform. Changes become visible after a delay,
 * and an entry may show different addresses to some readers.
 */

#ifndef FAKE_HOST_LIST_H
#define FAKE_HOST_LIST_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct fake_host_list fake_host_list_t;

fake_host_list_t *FvFakeHostList_New(int64_t lag_ms);
bool FvFakeHostList_Replace(fake_host_list_t *list, json_t *document,
                            int64_t now_ms);
bool FvFakeHostList_SetState(fake_host_list_t *list, const char *name,
                             const char *state, int64_t now_ms);
json_t *FvFakeHostList_Read(fake_host_list_t *list, const char *viewer,
                            int64_t now_ms);

#endif

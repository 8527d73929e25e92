/*
 * The host list as the platform double serves it: changes become visible
 * after a lag, and an entry may give other addresses to some readers.
 */

#ifndef HOST_VIEW_H
#define HOST_VIEW_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct host_view host_view_t;

host_view_t *FvHostView_New(int64_t lag_ms);
bool FvHostView_Replace(host_view_t *view, json_t *document, int64_t now_ms);
bool FvHostView_SetState(host_view_t *view, const char *name,
                         const char *state, int64_t now_ms);
json_t *FvHostView_Read(host_view_t *view, const char *viewer, int64_t now_ms);

#endif

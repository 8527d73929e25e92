/*
 * From a caller's request to its queue and what it asks for.
 */

#ifndef ROUTE_H
#define ROUTE_H

#include "entry.h"

#include <event2/http.h>

const fv_cell_queue_t *FvRoute_FindQueue(const fv_cell_config_t *config,
                                         const char *host, const char *path);
const fv_cell_queue_t *FvRoute_FindQueueByName(const fv_cell_config_t *config,
                                               const char *name);
fv_verb_t FvRoute_FindVerb(enum evhttp_cmd_type method, const char *rest);
int64_t FvRoute_TimeoutMs(const char *deadline);

#endif

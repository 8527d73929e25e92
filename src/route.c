/*
 * From a caller's request to its queue and what it asks for.
 */

#include "route.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define Fv_DEFAULT_DEADLINE_MS 3000 /* without a deadline header */

/**
 * FvRoute_FindQueue - find the queue of a request
 * @config: the configuration
 * @host: host name in the request, with or without a port
 * @path: its path
 *
 * Return: the queue with the longest matching prefix, or NULL.
 */
const fv_cell_queue_t *
FvRoute_FindQueue(const fv_cell_config_t *config, const char *host,
                  const char *path)
{
    const fv_cell_queue_t *best = NULL;
    size_t host_length = strcspn(host, ":");

    for (uint32_t i = 0; i < config->queue_count; i++) {
        const fv_cell_queue_t *queue = &config->queues[i];

        if (strlen(queue->virtual_host) == host_length &&
            strncasecmp(queue->virtual_host, host, host_length) == 0 &&
            strncmp(path, queue->prefix, strlen(queue->prefix)) == 0 &&
            (best == NULL || strlen(queue->prefix) > strlen(best->prefix))) {
            best = queue;
        }
    }
    return best;
}

/**
 * FvRoute_FindQueueByName - find a queue by its name
 * @config: the configuration, or NULL
 * @name: the name
 *
 * Return: the queue, or NULL.
 */
const fv_cell_queue_t *
FvRoute_FindQueueByName(const fv_cell_config_t *config, const char *name)
{
    for (uint32_t i = 0; config != NULL && i < config->queue_count; i++) {
        if (strcmp(config->queues[i].name, name) == 0) {
            return &config->queues[i];
        }
    }
    return NULL;
}

static bool
is_job_id(const char *text)
{
    return strlen(text) == Fv_JOB_ID_SIZE - 1 &&
           strspn(text, "0123456789abcdefABCDEF") == Fv_JOB_ID_SIZE - 1;
}

/**
 * FvRoute_FindVerb - find what a request asks for
 * @method: its method
 * @rest: its path after the queue's prefix
 *
 * Return: the verb; 0 when the method is not valid for the path.
 */
fv_verb_t
FvRoute_FindVerb(enum evhttp_cmd_type method, const char *rest)
{
    if (rest[0] == '\0') {
        return method == EVHTTP_REQ_GET ? Fv_VERB_WAITING : (fv_verb_t)0;
    }
    if (!is_job_id(rest)) {
        return (fv_verb_t)0;
    }
    switch (method) {
    case EVHTTP_REQ_POST:
        return Fv_VERB_SUBMIT;
    case EVHTTP_REQ_GET:
        return Fv_VERB_STATE;
    case EVHTTP_REQ_DELETE:
        return Fv_VERB_CANCEL;
    default:
        return (fv_verb_t)0;
    }
}

/**
 * FvRoute_TimeoutMs - how long the caller waits
 * @deadline: value of the deadline header, or NULL
 *
 * Return: the time.
 */
int64_t
FvRoute_TimeoutMs(const char *deadline)
{
    long given = deadline != NULL ? strtol(deadline, NULL, 10) : 0;

    return given > 0 ? given : Fv_DEFAULT_DEADLINE_MS;
}

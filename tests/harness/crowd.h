/*
 * A crowd of callers that send without end and read nothing, and what their
 * host's process holds meanwhile.
 */

#ifndef CROWD_H
#define CROWD_H

#include "entry-cell.h"

#define CROWD_CLIENTS_MAX 1024

/* What each client sends: the head once, then the rest again and again. */
typedef struct crowd_script {
    const char *head;    /* NULL: none */
    const char *repeat;  /* NULL: nothing after the head */
    int64_t bytes_max;   /* of each client; 0: without end */
    int64_t pause_ms;    /* between two writes of a client; 0: none */
    size_t write_max;    /* bytes in one write; 0: no limit */
    int64_t duration_ms; /* the longest that the crowd sends */
} crowd_script_t;

/* Peaks since FvCrowd_Watch(). Bytes in the kernel are those of the host's
 * connections with callers, the balancer and metrics scrapes: received and not
 * read, or written and not acknowledged. */
typedef struct crowd_usage {
    int64_t memory_kib; /* of the process and of these bytes, at one time */
    int64_t kernel_kib;
    int descriptors;
    bool alive;
} crowd_usage_t;

typedef struct crowd {
    const entry_cell_t *cell;
    int host;
    crowd_usage_t peak;
    int count;
    int fds[CROWD_CLIENTS_MAX]; /* -1: closed */
    int64_t sent[CROWD_CLIENTS_MAX];
    int64_t next_ms[CROWD_CLIENTS_MAX];
} crowd_t;

void FvCrowd_Watch(crowd_t *crowd, const entry_cell_t *cell, int host);
bool FvCrowd_Connect(crowd_t *crowd, int port, int clients);
void FvCrowd_Send(crowd_t *crowd, const crowd_script_t *script,
                  int64_t memory_max_kib);
void FvCrowd_Measure(crowd_t *crowd);
int FvCrowd_Open(const crowd_t *crowd);
void FvCrowd_Print(const crowd_t *crowd);
void FvCrowd_Close(crowd_t *crowd);
int FvCrowd_Call(const crowd_t *crowd, entry_port_t port, const char *path);

#endif

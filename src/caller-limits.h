/*
 * Limits of callers' connections: what each holds, how long it may go without
 * progress, and which one is closed when there is no room. No sockets or
 * clocks; caller-connection.c carries the decisions out.
 */

#ifndef CALLER_LIMITS_H
#define CALLER_LIMITS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/* Each listening address has connections of its own, so that those of one
 * cannot take those of another. */
typedef enum fv_caller_port {
    Fv_CALLER_PORT_CALLERS,
    Fv_CALLER_PORT_READY,
    Fv_CALLER_PORT_METRICS,
    Fv_CALLER_PORT_COUNT
} fv_caller_port_t;

typedef enum fv_caller_state {
    Fv_CALLER_IDLE,
    Fv_CALLER_RECEIVING, /* a request was begun and is not read in whole */
    Fv_CALLER_HANDLING,  /* a request was read and has no answer yet */
    Fv_CALLER_ANSWERING  /* an answer is not written in whole */
} fv_caller_state_t;

/* Why a connection is closed. */
typedef enum fv_caller_cause {
    Fv_CALLER_CAUSE_NONE,
    Fv_CALLER_CAUSE_UNREAD,      /* the caller does not read its answer */
    Fv_CALLER_CAUSE_HEADER,      /* the header took too long */
    Fv_CALLER_CAUSE_BODY,        /* the body took too long */
    Fv_CALLER_CAUSE_CONNECTIONS, /* gives way to another connection */
    Fv_CALLER_CAUSE_MEMORY       /* gives way to other requests */
} fv_caller_cause_t;

/* As set; 0: derived from the memory and descriptors of the process. */
typedef struct fv_caller_settings {
    double memory_mb;
    int32_t connections_max;
    int32_t header_ms;
    int32_t body_ms;
    int32_t unread_ms;
    int32_t idle_ms;
    int32_t read_ahead_kb;
} fv_caller_settings_t;

typedef struct fv_caller_limits {
    uint32_t connections_max[Fv_CALLER_PORT_COUNT];
    int64_t memory_max_bytes; /* of all connections */
    int64_t read_ahead_bytes; /* while a request has no written answer */
    int64_t header_ms;
    int64_t body_ms;
    int64_t unread_ms;
} fv_caller_limits_t;

/* The connections of one address. */
typedef struct fv_caller_peer {
    uint32_t address;
    uint32_t connections;
    int64_t bytes;
    UT_hash_handle hh;
} fv_caller_peer_t;

/* What is known of a connection. */
typedef struct fv_caller_facts {
    fv_caller_port_t port;
    fv_caller_peer_t *peer;     /* NULL: not known yet */
    bool handling;              /* a request was read, and no answer begun */
    bool answering;             /* until that answer is written */
    int64_t input_bytes;        /* received and not taken by the server */
    int64_t output_bytes;       /* of answers, not written */
    int64_t idle_since_ms;      /* since the latest answer, or its opening */
    int64_t spared_until_ms;    /* does not give way before */
    int64_t request_since_ms;   /* its first bytes; 0: none came */
    int64_t output_progress_ms; /* when a part was last added or written */
    int64_t request_bytes;      /* of the request in progress */
    int64_t chunk_pieces;       /* that the server took from the input */
    int64_t header_lines;       /* of it */
    int64_t header_line_bytes;  /* of the line that has no end yet */
    bool header_read;           /* the header is over */
    struct fv_caller_facts *prev;
    struct fv_caller_facts *next;
} fv_caller_facts_t;

void FvCallerLimits_Derive(fv_caller_limits_t *limits,
                           const fv_caller_settings_t *settings,
                           double memory_mb, int64_t descriptors);
uint32_t FvCallerLimits_Connections(const fv_caller_limits_t *limits);

fv_caller_state_t FvCallerFacts_State(const fv_caller_facts_t *facts);
int64_t FvCallerFacts_Bytes(const fv_caller_facts_t *facts);
void FvCallerFacts_Received(fv_caller_facts_t *facts, int64_t now_ms);
void FvCallerFacts_ScanHeader(fv_caller_facts_t *facts, const char *data,
                              size_t length);
void FvCallerFacts_InputTaken(fv_caller_facts_t *facts);
void FvCallerFacts_RequestRead(fv_caller_facts_t *facts);
void FvCallerFacts_OutputChanged(fv_caller_facts_t *facts, int64_t bytes,
                                 int64_t now_ms);
void FvCallerFacts_Answered(fv_caller_facts_t *facts, int64_t now_ms);
bool FvCallerFacts_Spare(fv_caller_facts_t *facts, int64_t now_ms);
void FvCallerFacts_Forgive(fv_caller_facts_t *facts, int64_t stood_still_ms);

fv_caller_cause_t FvCallerLimits_Check(const fv_caller_limits_t *limits,
                                       const fv_caller_facts_t *facts,
                                       int64_t now_ms);
fv_caller_facts_t *FvCallerLimits_FindVictim(fv_caller_facts_t *first,
                                             fv_caller_port_t port,
                                             fv_caller_cause_t cause,
                                             int64_t now_ms);
const char *FvCallerCause_Name(fv_caller_cause_t cause);

#endif

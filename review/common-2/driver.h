/*
 * Starts a small deployment on loopback addresses: the stand-in of the
 * platform and the entry hosts, each a process of its own, by the command of
 * the deploy file. All of them are killed when the program ends.
 */

#ifndef DRIVER_H
#define DRIVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HOSTS_MAX 9

/* Exit codes. */
#define HELD 0
#define BROKEN 1
#define NOT_RUN 2

bool trouble(void);
int64_t now_ms(void);
void sleep_ms(int64_t ms);
/* A line of record.txt. */
void note(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Ends the program with NOT_RUN when the deployment does not get ready. */
void start_cell(int hosts, int workers);
void start_host(int host);
void kill_host(int host);
bool is_host_running(int host);
/* Resident memory of a host's process in KiB, 0 when it has ended. */
long host_memory_kib(int host);
/* Ends the processes, appends the stand-in's record and returns @code. */
int finish(int code, const char *verdict);

/* A request of a client at a host, on a connection of its own; returns the
 * status, 0 without a whole answer in time. @out may be NULL. */
int request(int host, const char *method, const char *path, const char *body,
            int timeout_ms, char *out, size_t size);
/* The same as a client does it that gets no answer: at the next host, up to
 * five times. */
int request_until_answered(int host, const char *method, const char *path,
                           const char *body, char *out, size_t size);
/* A command to the stand-in; false when it was not taken. */
bool control(const char *path, const char *body, char *out, size_t size);
int64_t number_of(const char *json, const char *name, int64_t fallback);

#endif

/*
 * A cell of entry hosts on loopback for tests: fake-cell as the platform, a
 * fault-proxy between each host and the store, and fireflyvalve processes. The
 * executables are taken from the directory that the environment variable BUILD
 * names.
 */

#ifndef ENTRY_CELL_H
#define ENTRY_CELL_H

#include "fireflyvalve.h"
#include "process.h"

#include <jansson.h>

#define ENTRY_CELL_HOSTS_MAX 70
#define ENTRY_CELL_WORKERS_MAX 80

/* A field that is zero selects the default. */
typedef struct entry_cell_options {
    const char *name; /* of the directory of settings and logs */
    int hosts;
    int workers;
    int first_port; /* of the first range that is tried */
    /* More options of fake-cell, ended by NULL. */
    const char *const *platform_options;
    int stop_timeout_ms;
    int drain_ms;
    int memory_mb; /* 0: not in the settings */
    int descriptors_max;
    const char *log_level;
    const char *more_settings; /* lines of the settings file */
    bool splits;               /* FvEntryCell_Split() can be used */
    bool late_platform;        /* FvEntryCell_StartPlatform() starts it */
} entry_cell_options_t;

typedef struct entry_cell_host {
    process_t process;
    char settings[512];
} entry_cell_host_t;

typedef struct entry_cell {
    entry_cell_options_t options;
    int port; /* first one of the range */
    char directory[256];
    process_t platform;
    process_t proxy;
    entry_cell_host_t hosts[ENTRY_CELL_HOSTS_MAX];
} entry_cell_t;

typedef enum entry_port {
    ENTRY_PORT_CALLERS,
    ENTRY_PORT_READY,
    ENTRY_PORT_METRICS,
    ENTRY_PORT_LINK
} entry_port_t;

/* Routes of fault-proxy; the first exists in each cell, the others in a cell
 * that can be split. */
typedef enum entry_route {
    ENTRY_ROUTE_STORE,
    ENTRY_ROUTE_ADVICE,
    ENTRY_ROUTE_LINK /* from other hosts to this one */
} entry_route_t;

/* Two sides of a cell; true: the second one. */
typedef struct entry_split {
    bool hosts[ENTRY_CELL_HOSTS_MAX];
    bool workers[ENTRY_CELL_WORKERS_MAX];
    bool store;
    bool advice;
    /* Directions in which packets arrive, for a split in one direction. */
    bool from_first_arrives;
    bool from_second_arrives;
} entry_split_t;

bool FvEntryCell_Start(entry_cell_t *cell,
                       const entry_cell_options_t *options);
bool FvEntryCell_StartPlatform(entry_cell_t *cell);
bool FvEntryCell_PlatformEnded(entry_cell_t *cell);
void FvEntryCell_Stop(entry_cell_t *cell);
bool FvEntryCell_StartHost(entry_cell_t *cell, int host);
bool FvEntryCell_WaitReady(entry_cell_t *cell, int64_t timeout_ms);
int FvEntryCell_Port(const entry_cell_t *cell, int host, entry_port_t port);
int FvEntryCell_Leader(const entry_cell_t *cell);
int FvEntryCell_Leadership(const entry_cell_t *cell, int64_t *lease);
int FvEntryCell_WaitLeader(const entry_cell_t *cell, int former,
                           int64_t timeout_ms);
int FvEntryCell_WaitLeadership(const entry_cell_t *cell, int64_t former,
                               int64_t timeout_ms);
bool FvEntryCell_PlatformFault(const entry_cell_t *cell, const char *body);
bool FvEntryCell_WaitConfig(const entry_cell_t *cell, int64_t version,
                            int64_t timeout_ms);
void FvEntryCell_Route(const entry_cell_t *cell, int host, entry_route_t kind,
                       char *address, size_t size);
bool FvEntryCell_ProxyFault(const entry_cell_t *cell, const char *body);
bool FvEntryCell_Split(const entry_cell_t *cell, const entry_split_t *split);
bool FvEntryCell_RouteFault(const entry_cell_t *cell, int host,
                            const char *mode);
json_t *FvEntryCell_Report(const entry_cell_t *cell);
int FvEntryCell_Call(const entry_cell_t *cell, int host, const char *method,
                     const char *path, const char *body, char *state,
                     size_t size);
int FvEntryCell_CallAs(const entry_cell_t *cell, int host, const char *key,
                       const char *method, const char *path, const char *body,
                       char *state, size_t size);
bool FvEntryCell_LogHas(const entry_cell_t *cell, int host, const char *text);
uint32_t FvEntryCell_CountLog(const entry_cell_t *cell, int host,
                              const char *text);
int64_t FvEntryCell_Counter(const entry_cell_t *cell, int host,
                            const char *name);
bool FvEntryCell_WaitLog(const entry_cell_t *cell, int host, const char *text,
                         int64_t timeout_ms);
int64_t FvEntryCell_FreeAfterMs(const entry_cell_t *cell, int host);

#endif

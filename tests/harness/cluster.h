/*
 * Runs a complete cell on loopback for tests: fake-platform, fake-worker,
 * fault-proxy and fireflyvalve processes. The executables are taken from the
 * directory that the environment variable BUILD names.
 */

#ifndef CLUSTER_H
#define CLUSTER_H

#include "fireflyvalve.h"
#include "http-call.h"
#include "process.h"
#include "record.h"

#define CLUSTER_HOSTS_MAX 16
#define CLUSTER_RACKS_MAX 48
/* Index that selects every host or rack. */
#define CLUSTER_ALL (-1)
/* Allows for a busy machine. */
#define CLUSTER_START_TIMEOUT_MS 10000

/* The hosts and racks of one data centre. */
typedef struct topology_site {
    const char *region;
    const char *data_center;
    int hosts;
    int racks;
    int workers_per_rack;
} topology_site_t;

/* A field that is zero selects the default of the program it configures. */
typedef struct topology {
    const char *cluster;
    const topology_site_t *sites;
    size_t site_count;
    const char *const *members;
    size_t member_count;
    bool proxied; /* connections go through fault-proxy */
    double region_delay_ms;
    double data_center_delay_ms;
    double caller_delay_ms;
    fv_resources_t capacity;
    int connections;
    int worker_threads; /* --threads of fake-worker; excludes rack_threads */
    bool no_fencing;
    int usage_lag_ms;
    int ttl_stop_ms; /* from a lease's end to the stop of its tasks */
    int list_lag_ms; /* until a change of the host list is visible */
    int store_timeout_ms;
    int lease_ttl_ms;
    int lease_renew_ms;
    int http_threads;
    int rack_threads; /* --threads of fake-worker */
    int queue_limit;
    int drain_timeout_ms;
    const char *log_level;
} topology_t;

typedef struct cluster_host {
    char name[Fv_NAME_SIZE];
    const topology_site_t *site;
    char http_address[Fv_ADDRESS_SIZE];
    char link_address[Fv_ADDRESS_SIZE];
    char config_path[512];
    process_t process;
} cluster_host_t;

/* One fake-worker process. Worker I of rack-N is named rN-wI. */
typedef struct cluster_rack {
    char name[Fv_NAME_SIZE];
    char prefix[Fv_NAME_SIZE];
    const topology_site_t *site;
    char address[Fv_ADDRESS_SIZE];
    char record_path[512];
    process_t process;
} cluster_rack_t;

/* The connections that a route carries. */
typedef enum route_kind {
    ROUTE_PEER,   /* host to host */
    ROUTE_RACK,   /* host to rack */
    ROUTE_STORE,  /* host to the platform's store */
    ROUTE_LIST,   /* host to the platform's host list */
    ROUTE_CALLER, /* callers to host */
    ROUTE_KIND_COUNT
} route_kind_t;

typedef struct cluster_route {
    route_kind_t kind;
    int from;
    int to;
    double delay_ms; /* in each direction */
    char listen[Fv_ADDRESS_SIZE];
    char target[Fv_ADDRESS_SIZE];
} cluster_route_t;

typedef struct cluster {
    topology_t topology;
    char directory[256];
    char ip[32];
    int next_port;
    char platform_address[Fv_ADDRESS_SIZE];
    char platform_control[Fv_ADDRESS_SIZE];
    char proxy_control[Fv_ADDRESS_SIZE];
    process_t platform;
    process_t proxy;
    cluster_host_t hosts[CLUSTER_HOSTS_MAX];
    int host_count;
    cluster_rack_t racks[CLUSTER_RACKS_MAX];
    int rack_count;
    cluster_route_t *routes;
    int route_count;
} cluster_t;

/* cluster.c: starts and stops the processes. */
bool FvCluster_Open(cluster_t *cluster, const topology_t *topology);
bool FvCluster_Start(cluster_t *cluster, const topology_t *topology);
void FvCluster_Close(cluster_t *cluster);
bool FvCluster_StartHost(cluster_t *cluster, int host);
bool FvCluster_StartRack(cluster_t *cluster, int rack);
bool FvCluster_StartPlatform(cluster_t *cluster);
bool FvCluster_WaitListening(const char *address, int64_t timeout_ms);
bool FvCluster_WaitHealthy(cluster_t *cluster, int host, int64_t timeout_ms);
bool FvCluster_WaitReady(cluster_t *cluster, int host, int64_t timeout_ms);
bool FvWait_Until(bool (*condition)(void *context), void *context,
                  int64_t timeout_ms);

/* cluster-files.c: addresses and files. */
bool FvCluster_PrepareDirectory(cluster_t *cluster);
void FvCluster_RemoveDirectory(cluster_t *cluster);
void FvCluster_FilePath(const cluster_t *cluster, const char *name, char *path,
                        size_t size);
bool FvCluster_AllocateAddress(cluster_t *cluster,
                               char address[Fv_ADDRESS_SIZE]);
json_t *FvCluster_HostList(const cluster_t *cluster);
bool FvCluster_WriteFiles(cluster_t *cluster);

/* cluster-routes.c: routes through fault-proxy and their faults. */
bool FvCluster_PlanRoutes(cluster_t *cluster);
const char *FvCluster_RouteAddress(const cluster_t *cluster, route_kind_t kind,
                                   int from, int to);
bool FvCluster_SetRoute(cluster_t *cluster, route_kind_t kind, int from,
                        int to, const char *mode);
bool FvCluster_DelayRoute(cluster_t *cluster, route_kind_t kind, int from,
                          int to, double delay_ms);
bool FvCluster_CutResponse(cluster_t *cluster, route_kind_t kind, int from,
                           int to, int64_t after_bytes);
bool FvCluster_IsolateHost(cluster_t *cluster, int host, const char *mode);
bool FvCluster_SplitRegions(cluster_t *cluster, const char *a, const char *b,
                            const char *mode);

/* cluster-api.c: requests to the hosts and to the fakes. */
typedef struct submit {
    const char *member;
    const char *key; /* NULL: no Idempotency-Key */
    const char *workload;
    const char *payload;
    size_t payload_length; /* 0: text; otherwise binary, sent in base64 */
    int64_t deadline_ms;
    int tasks;
    int64_t wait_ms;
    bool raw; /* ask for the answer as the response body */
    int64_t timeout_ms;
    http_session_t *session; /* NULL: open a new connection */
} submit_t;

typedef struct job_reply {
    int status; /* HTTP; 0: no complete response */
    char key[Fv_KEY_SIZE];
    char state[16];
    char outcome[16];
    char reason[256]; /* or the detail of an error response */
    int attempts;
    int64_t answer_length;
    int64_t waited_ms;
    int64_t ran_ms;
    int64_t retry_after_ms;
    char worker[Fv_NAME_SIZE]; /* the first one listed */
    http_reply_t http;
} job_reply_t;

typedef struct proposal_reply {
    int status;
    char id[Fv_KEY_SIZE];
    char digest[Fv_HASH256_HEX_SIZE];
} proposal_reply_t;

json_t *FvApi_EncodeBase64(const void *data, size_t length);
void FvApi_MemberToken(const char *member, char *token, size_t size);
void FvApi_HostUrl(const cluster_t *cluster, int host, const char *path,
                   char *url, size_t size);
void FvApi_Submit(cluster_t *cluster, int host, const submit_t *submit,
                  job_reply_t *reply);
void FvApi_GetJob(cluster_t *cluster, int host, const char *member,
                  const char *key, int64_t wait_ms, job_reply_t *reply);
void FvApi_Cancel(cluster_t *cluster, int host, const char *member,
                  const char *key, job_reply_t *reply);
void FvApi_FreeJobReply(job_reply_t *reply);
void FvApi_GetAnswer(cluster_t *cluster, int host, const char *member,
                     const char *key, http_reply_t *reply);
int FvApi_Call(cluster_t *cluster, int host, const char *member,
               const char *method, const char *path, json_t *body,
               json_t **reply);
int FvApi_PutAnswers(cluster_t *cluster, int host, const char *member,
                     json_t *answers);
bool FvApi_GenerateProposal(cluster_t *cluster, int host, const char *member,
                            proposal_reply_t *reply);
int FvApi_Vote(cluster_t *cluster, int host, const char *member,
               const proposal_reply_t *proposal, bool approve);
int64_t FvApi_ConfigVersion(cluster_t *cluster, int host);
bool FvCluster_Configure(cluster_t *cluster, int host, const char *answers,
                         int64_t timeout_ms);
bool FvCluster_ControlPlatform(cluster_t *cluster, const char *path,
                               json_t *body);
int64_t FvCluster_PlatformCounter(cluster_t *cluster, const char *name);
json_t *FvCluster_DumpStore(cluster_t *cluster);
bool FvCluster_SetHostListState(cluster_t *cluster, const char *name,
                                const char *state);
bool FvCluster_SetWorkerMode(cluster_t *cluster, int rack, const char *worker,
                             const char *mode);
int64_t FvCluster_RackCounter(cluster_t *cluster, int rack, const char *name);
bool FvCluster_ReadRecords(cluster_t *cluster, records_t *records);

#endif

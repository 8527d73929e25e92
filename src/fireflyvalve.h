/*
 * Declarations shared by the whole program. Each object has its own .c file,
 * and its functions carry the object's name as a prefix: FvRing_Push is in
 * ring.c. Functions are documented where they are defined.
 */

#ifndef FIREFLYVALVE_H
#define FIREFLYVALVE_H

#include "toml.h" /* FvToml_ReadFile, Fv_REASON_SIZE */

#include <jansson.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#define Fv_VERSION "0.1.0"

#define Fv_NS_PER_MS INT64_C(1000000)
#define Fv_NS_PER_S INT64_C(1000000000)
#define Fv_MS_PER_S INT64_C(1000)
#define Fv_US_PER_MS INT64_C(1000)

/* Sizes of strings include the terminating NUL. */
#define Fv_NAME_SIZE 64
#define Fv_KEY_SIZE 129
#define Fv_URL_SIZE 256
#define Fv_ADDRESS_SIZE 64
#define Fv_HASH256_HEX_SIZE 65
#define Fv_NONCE_SIZE 33
#define Fv_TASK_ID_SIZE 256
#define Fv_WORKLOADS_MAX 16
#define Fv_MEMBERS_MAX 128
#define Fv_TASKS_MAX 256
#define Fv_HOSTS_MAX 1024
#define Fv_PAYLOAD_MAX_BYTES (256 * 1024)
#define Fv_ANSWER_MAX_BYTES (16 * 1024 * 1024)

/* clock.c */
int64_t FvClock_NowNs(void);
int64_t FvClock_NowMs(void);
int64_t FvClock_WallMs(void);

/* ring.c */
typedef struct fv_ring fv_ring_t;

fv_ring_t *FvRing_New(uint32_t capacity);
void FvRing_Free(fv_ring_t *ring);
bool FvRing_TryPush(fv_ring_t *ring, void *item);
bool FvRing_Push(fv_ring_t *ring, void *item);
void *FvRing_Pop(fv_ring_t *ring, int64_t wait_ms);
void FvRing_Close(fv_ring_t *ring);

/* table.c: entries sorted by key. The first member of each entry is its key,
 * a char array. */
typedef struct fv_table {
    uint32_t count;
    uint32_t capacity;
    void **entries;
} fv_table_t;

void *FvTable_Find(const fv_table_t *table, const char *key);
void *FvTable_FindOrAdd(fv_table_t *table, const char *key, size_t key_size,
                        size_t entry_size);
void FvTable_Clear(fv_table_t *table);

/* log.c */
typedef enum fv_log_level {
    Fv_LOG_ERROR,
    Fv_LOG_WARN,
    Fv_LOG_INFO,
    Fv_LOG_DEBUG
} fv_log_level_t;

int FvLog_Open(fv_log_level_t level, const char *host);
int FvLog_OpenBuffered(fv_log_level_t level, const char *host);
void FvLog_Flush(void);
void FvLog_Finish(int64_t limit_ms);
void FvLog_Close(void);
bool FvLog_ParseLevel(const char *text, fv_log_level_t *level);

/* Lines of one kind of event in the current second. */
typedef struct fv_log_quota {
    int64_t second;
    uint32_t lines;
} fv_log_quota_t;

fv_log_level_t FvLog_LevelWithin(fv_log_quota_t *quota, uint32_t lines_max,
                                 int64_t now_ms);
void FvLog_Event(fv_log_level_t level, const char *event, const char *format,
                 ...) __attribute__((format(printf, 3, 4)));

/* buffer.c */
typedef struct fv_buffer {
    uint8_t *data;
    size_t length;
    size_t capacity;
} fv_buffer_t;

bool FvBuffer_Append(fv_buffer_t *buffer, const void *data, size_t length);
void FvBuffer_Clear(fv_buffer_t *buffer);

/* text.c */
bool FvText_Copy(char *target, size_t size, const char *source);
bool FvText_IsWord(const char *text);
bool FvText_IsName(const char *text, size_t max_length);
bool FvText_ParseAddress(const char *text, struct sockaddr_in *address);
void FvText_RandomHex(char *target, size_t size);
char *FvText_EncodeBase64(const void *data, size_t length);
bool FvText_DecodeBase64(const char *text, fv_buffer_t *out);
void FvText_Sha256Hex(const void *data, size_t length,
                      char digest[Fv_HASH256_HEX_SIZE]);
uint64_t FvText_Hash(const void *data, size_t length, uint64_t seed);
uint64_t FvText_RendezvousWeight(const char *key, const char *host);

/* json.c: typed access to members of JSON objects. */
const char *FvJson_String(const json_t *object, const char *key);
int64_t FvJson_Int(const json_t *object, const char *key, int64_t fallback);
size_t FvJson_Depth(const char *text, size_t length);
bool FvJson_ReadInt(const json_t *object, const char *key, int64_t min,
                    int64_t max, int64_t *value);
bool FvJson_Bool(const json_t *object, const char *key, bool fallback);
bool FvJson_CopyString(const json_t *object, const char *key, char *target,
                       size_t size);

/* json-digest.c */
void FvJson_Digest(const json_t *value, char digest[Fv_HASH256_HEX_SIZE]);

/* histogram.c: log-linear buckets; values are in microseconds. */
typedef struct fv_histogram fv_histogram_t;

fv_histogram_t *FvHistogram_New(void);
void FvHistogram_Free(fv_histogram_t *histogram);
void FvHistogram_Record(fv_histogram_t *histogram, int64_t value_us);
int64_t FvHistogram_Quantile(const fv_histogram_t *histogram, double q);
uint64_t FvHistogram_Count(const fv_histogram_t *histogram);
int64_t FvHistogram_Max(const fv_histogram_t *histogram);
int64_t FvHistogram_Sum(const fv_histogram_t *histogram);

/* dependency.c */
typedef enum fv_dependency {
    Fv_DEPENDENCY_UNKNOWN, /* not called yet */
    Fv_DEPENDENCY_ANSWERS,
    Fv_DEPENDENCY_LOST
} fv_dependency_t;

bool FvDependency_Note(fv_dependency_t *dependency, bool answered);

/* metrics.c */
typedef enum fv_counter {
    Fv_COUNTER_JOBS_ACCEPTED,
    Fv_COUNTER_JOBS_REFUSED,
    Fv_COUNTER_STARTS,
    Fv_COUNTER_STARTS_REFUSED,
    Fv_COUNTER_RETRIES,
    Fv_COUNTER_STORE_READS,
    Fv_COUNTER_STORE_WRITES,
    Fv_COUNTER_STORE_WATCHES,
    Fv_COUNTER_STORE_ERRORS,
    Fv_COUNTER_STORE_UNCONFIRMED,
    Fv_COUNTER_LEASE_RENEWALS,
    Fv_COUNTER_LEASE_LOSSES,
    Fv_COUNTER_LINK_BYTES_SENT,
    Fv_COUNTER_LINK_BYTES_RECEIVED,
    Fv_COUNTER_LINK_REJECTED,
    Fv_COUNTER_UPSTREAM_BYTES_SENT,
    Fv_COUNTER_UPSTREAM_BYTES_RECEIVED,
    Fv_COUNTER_HTTP_REQUESTS,
    Fv_COUNTER_HTTP_BAD_REQUESTS,
    Fv_COUNTER_HTTP_REPLIES,
    Fv_COUNTER_CLAIM_CONFLICTS,
    Fv_COUNTER_CLAIMS_RECOVERED,
    Fv_COUNTER_QUARANTINES,
    Fv_COUNTER_AVOIDABLE_WAITS,
    Fv_COUNTER_DECISIONS,
    Fv_COUNTER_CALL_WAITS,
    Fv_COUNTER_CALLS_NOT_SENT,
    Fv_COUNTER_CONNECTIONS_OPENED,
    Fv_COUNTER_CONNECTIONS_RESET,
    Fv_COUNTER_TASKS_LOST,
    Fv_COUNTER_WORKERS_OVERCOMMITTED,
    Fv_COUNTER_SPEED_RUNS,
    Fv_COUNTER_SPEED_CHANGES,
    Fv_COUNTER_DEPENDENCIES_LOST,
    Fv_COUNTER_HTTP_NOT_FORWARDED,
    Fv_COUNTER_CONFIGS_REFUSED,
    Fv_COUNTER_KEYS_REFUSED,
    Fv_COUNTER_CUSTOMERS_REFUSED,
    Fv_COUNTER_REQUESTS_GIVEN_BACK,
    Fv_COUNTER_ACCOUNTS_CORRECTED,
    Fv_COUNTER_CALLERS_UNREAD,
    Fv_COUNTER_CALLERS_SLOW,
    Fv_COUNTER_CALLERS_DISPLACED,
    Fv_COUNTER_BACKFILLS,
    Fv_COUNTER_RESERVATIONS_PAUSED,
    Fv_COUNTER_JOBS_UNFIT,
    Fv_COUNTER_JOBS_HOPELESS,
    Fv_COUNTER_COUNT
} fv_counter_t;

/* Counters of each member; of `entry` each customer. */
typedef enum fv_member_counter {
    Fv_MEMBER_JOBS_ACCEPTED,
    Fv_MEMBER_EXCESS_ACCEPTED,
    Fv_MEMBER_EXCESS_REFUSED,
    Fv_MEMBER_CAP_WAITS,
    Fv_MEMBER_COUNTER_COUNT
} fv_member_counter_t;

typedef enum fv_timing {
    Fv_TIMING_WAIT,  /* submission to start */
    Fv_TIMING_RUN,   /* start to end */
    Fv_TIMING_TOTAL, /* submission to end */
    Fv_TIMING_COUNT
} fv_timing_t;

/* Job classes by priority: queues of lower values are served first. */
typedef enum fv_class {
    Fv_CLASS_INTERACTIVE,
    Fv_CLASS_SERVICE,
    Fv_CLASS_GANG,
    Fv_CLASS_DEADLINE,
    Fv_CLASS_COUNT
} fv_class_t;

const char *FvClass_Name(fv_class_t class_id);
bool FvClass_Parse(const char *name, fv_class_t *class_id);

void FvMetrics_Add(fv_counter_t counter, uint64_t amount);
uint64_t FvMetrics_Get(fv_counter_t counter);
void FvMetrics_Record(fv_timing_t timing, fv_class_t class_id,
                      const char *member, int64_t value_us);
void FvMetrics_AddForMember(fv_member_counter_t counter, const char *member,
                            uint64_t amount);
void FvMetrics_AddCrossRegionBytes(const char *member, uint64_t bytes);
void FvMetrics_Print(fv_buffer_t *out);

/* settings.c: the settings file of a host. */
typedef struct fv_settings {
    char cluster[Fv_NAME_SIZE];
    char host[Fv_NAME_SIZE];
    char region[Fv_NAME_SIZE];
    char data_center[Fv_NAME_SIZE];
    char http_address[Fv_ADDRESS_SIZE];
    char link_address[Fv_ADDRESS_SIZE];
    char store_url[Fv_URL_SIZE];
    char store_prefix[Fv_NAME_SIZE];
    char host_list_url[Fv_URL_SIZE];
    char cluster_key_file[Fv_URL_SIZE];
    char tokens_file[Fv_URL_SIZE];
    fv_log_level_t log_level;
    int32_t http_threads;
    int32_t queue_limit;
    int32_t drain_timeout_ms;
    int32_t store_timeout_ms;
    int32_t lease_ttl_ms;
    int32_t lease_renew_ms;
} fv_settings_t;

bool FvSettings_Load(const char *path, fv_settings_t *settings, FILE *faults);
void FvSettings_PrintTable(FILE *out);
bool FvSettings_ReadClusterKey(const char *path, uint8_t key[32],
                               char reason[Fv_REASON_SIZE]);

json_t *FvToml_ReadFile(const char *path, char reason[Fv_REASON_SIZE]);

/* resources.c */
typedef struct fv_resources {
    int64_t cpu_millis;
    int64_t memory_bytes;
    int32_t accelerators;
    int32_t slots;
} fv_resources_t;

bool FvResources_Fits(const fv_resources_t *size, const fv_resources_t *free);
void FvResources_Add(fv_resources_t *total, const fv_resources_t *part);
void FvResources_Subtract(fv_resources_t *total, const fv_resources_t *part);
json_t *FvResources_ToJson(const fv_resources_t *resources);
bool FvResources_FromJson(const json_t *object, fv_resources_t *resources);

#define Fv_WEIGHT_MAX 1000

/* contract.c: weight, quota and workloads of one member. */
typedef struct fv_workload {
    char name[Fv_NAME_SIZE];
    fv_class_t class_id;
    bool exclusive;
    bool idempotent;
    fv_resources_t size;
    int32_t tasks;
    int32_t queue_limit;
    int32_t retry_limit;
    int64_t expected_run_ms;
    int64_t start_within_ms;
    int64_t finish_within_ms;
} fv_workload_t;

typedef struct fv_contract {
    char member[Fv_NAME_SIZE];
    uint32_t weight;
    fv_resources_t quota;
    uint32_t workload_count;
    fv_workload_t workloads[Fv_WORKLOADS_MAX];
} fv_contract_t;

const fv_workload_t *FvContract_FindWorkload(const fv_contract_t *contract,
                                             const char *name);
bool FvWorkload_NeedsClaim(const fv_workload_t *workload);
json_t *FvContract_ToJson(const fv_contract_t *contract);
bool FvContract_FromJson(const json_t *object, fv_contract_t *contract,
                         char reason[Fv_REASON_SIZE]);
bool FvContract_Equals(const fv_contract_t *a, const fv_contract_t *b);
void FvContract_Digest(const fv_contract_t *contract,
                       char digest[Fv_HASH256_HEX_SIZE]);

/* config.c: a configuration is immutable once published and is read under
 * rcu_read_lock(). */
typedef struct fv_config {
    uint64_t version;
    char digest[Fv_HASH256_HEX_SIZE];
    uint32_t contract_count;
    fv_contract_t *contracts;
    char (*contract_digests)[Fv_HASH256_HEX_SIZE]; /* NULL: not computed yet */
} fv_config_t;

fv_config_t *FvConfig_New(uint64_t version, const fv_contract_t *contracts,
                          uint32_t count, const fv_config_t *base);
const fv_config_t *FvConfig_GetActive(void);
const fv_contract_t *FvConfig_FindContract(const fv_config_t *config,
                                           const char *member);
uint64_t FvConfig_ActiveVersion(void);
bool FvConfig_Publish(fv_config_t *config);
void FvConfig_Free(fv_config_t *config);
fv_config_t *FvConfig_FromJson(const json_t *object,
                               char reason[Fv_REASON_SIZE]);
json_t *FvConfig_ToJson(const fv_config_t *config);
void FvConfig_Digest(const fv_config_t *config,
                     char digest[Fv_HASH256_HEX_SIZE]);
void FvConfig_ContractDigest(const fv_config_t *config,
                             const fv_contract_t *contract,
                             char digest[Fv_HASH256_HEX_SIZE]);
json_t *FvConfig_ContractDigests(const fv_config_t *config);
void FvConfig_DigestFromContracts(uint64_t version, json_t *contract_digests,
                                  char digest[Fv_HASH256_HEX_SIZE]);

/* member.c: bearer tokens with which members authenticate. */
typedef struct fv_tokens fv_tokens_t;

fv_tokens_t *FvTokens_Load(const char *path, char reason[Fv_REASON_SIZE]);
void FvTokens_Free(fv_tokens_t *tokens);
bool FvTokens_Authenticate(const fv_tokens_t *tokens, const char *token,
                           char member[Fv_NAME_SIZE]);

/* loop.c: event loop and timers of the scheduler thread. */
typedef struct fv_loop fv_loop_t;
typedef struct fv_event fv_event_t;
typedef struct fv_timer fv_timer_t;

typedef struct fv_event_type {
    const char *name;
    void (*run)(fv_event_t *event);
    void (*free)(fv_event_t *event);
} fv_event_type_t;

struct fv_event {
    const fv_event_type_t *type;
};

struct fv_timer {
    int64_t due_ms; /* since boot */
    int32_t heap_index;
    bool armed;
    void (*fire)(void *owner);
    void *owner;
};

fv_loop_t *FvLoop_New(uint32_t capacity);
void FvLoop_Clear(fv_loop_t *loop);
void FvLoop_Free(fv_loop_t *loop);
bool FvLoop_Post(fv_loop_t *loop, fv_event_t *event);
bool FvLoop_TryPost(fv_loop_t *loop, fv_event_t *event);
void FvLoop_Run(fv_loop_t *loop);
void FvLoop_Stop(fv_loop_t *loop);
void FvLoop_SetTimer(fv_loop_t *loop, fv_timer_t *timer, int64_t due_ms);
void FvLoop_CancelTimer(fv_loop_t *loop, fv_timer_t *timer);

/* http-client.c: callbacks run on the scheduler thread. */
typedef struct fv_http_client fv_http_client_t;

typedef enum fv_http_error {
    Fv_HTTP_OK,
    Fv_HTTP_NOT_SENT,    /* no byte of the request was sent */
    Fv_HTTP_EXPIRED,     /* not sent: not_after_ns had passed */
    Fv_HTTP_UNCONFIRMED, /* sent, response lost: may have been executed */
    Fv_HTTP_TOO_LARGE
} fv_http_error_t;

typedef struct fv_http_response {
    fv_http_error_t error;
    int32_t status;
    uint8_t *body;
    size_t body_length;
    /* Values of the Task-* headers of a worker's response. */
    char task_state[16];
    int64_t task_ran_ms;
    int64_t task_cpu_millis;
    int64_t task_memory_bytes;
} fv_http_response_t;

typedef void (*fv_http_done_t)(void *context, fv_http_response_t *response);
typedef void (*fv_http_data_t)(void *context, const uint8_t *data,
                               size_t length);

typedef struct fv_http_request {
    const char *method;
    char url[Fv_URL_SIZE * 3];
    char *body;
    size_t body_length;
    int64_t timeout_ms;   /* 0: no limit (watch streams) */
    int64_t not_after_ns; /* latest time since boot to send; 0: no limit */
    size_t response_max_bytes;
    bool send_once;        /* not retried by libcurl */
    bool fresh_connection; /* a pooled one may be closed by the peer */
    bool upstream;         /* counted in the upstream_bytes metrics */
    fv_http_done_t done;
    fv_http_data_t data; /* set for streams; receives each chunk */
    void *context;
} fv_http_request_t;

fv_http_client_t *FvHttpClient_New(fv_loop_t *loop);
void FvHttpClient_Free(fv_http_client_t *client);
uint64_t FvHttpClient_Send(fv_http_client_t *client,
                           fv_http_request_t *request);
void FvHttpClient_Cancel(fv_http_client_t *client, uint64_t id);

/* store.c: client of the etcd v3 JSON API. */
typedef struct fv_store fv_store_t;
typedef struct fv_store_txn fv_store_txn_t;

typedef enum fv_store_error {
    Fv_STORE_OK,
    Fv_STORE_UNAVAILABLE, /* the call had no effect */
    Fv_STORE_UNCONFIRMED, /* the write may have been or may be applied */
    Fv_STORE_REJECTED,
    Fv_STORE_MALFORMED
} fv_store_error_t;

typedef struct fv_store_kv {
    char *key; /* without the prefix */
    char *value;
    size_t value_length;
    int64_t mod_revision;
    bool deleted;
} fv_store_kv_t;

typedef struct fv_store_result {
    fv_store_error_t error;
    bool succeeded; /* transaction: all comparisons held */
    int64_t revision;
    int64_t lease;
    uint32_t kv_count;
    fv_store_kv_t *kvs;
} fv_store_result_t;

typedef void (*fv_store_done_t)(void *context,
                                const fv_store_result_t *result);

fv_store_t *FvStore_New(fv_http_client_t *client, fv_loop_t *loop,
                        const char *url, const char *prefix,
                        int32_t timeout_ms);
void FvStore_Free(fv_store_t *store);
fv_store_txn_t *FvStoreTxn_New(void);
void FvStoreTxn_CompareAbsent(fv_store_txn_t *txn, const char *key);
void FvStoreTxn_CompareRevision(fv_store_txn_t *txn, const char *key,
                                int64_t mod_revision);
void FvStoreTxn_CompareValue(fv_store_txn_t *txn, const char *key,
                             const char *value);
void FvStoreTxn_Put(fv_store_txn_t *txn, const char *key, const char *value,
                    int64_t lease);
void FvStoreTxn_Delete(fv_store_txn_t *txn, const char *key);
void FvStoreTxn_ReadOnFailure(fv_store_txn_t *txn, const char *key);
json_t *FvStoreTxn_TakeBody(fv_store_txn_t *txn, const char *prefix);
json_t *FvStoreKey_Encode(const char *prefix, const char *key);
json_t *FvStoreKey_EncodeRangeEnd(const char *prefix, const char *key);
void FvStore_Commit(fv_store_t *store, fv_store_txn_t *txn,
                    fv_store_done_t done, void *context);
void FvStore_Get(fv_store_t *store, const char *key, fv_store_done_t done,
                 void *context);
void FvStore_List(fv_store_t *store, const char *key_prefix,
                  fv_store_done_t done, void *context);
void FvStore_GrantLease(fv_store_t *store, int64_t ttl_s, fv_store_done_t done,
                        void *context);
void FvStore_Watch(fv_store_t *store, const char *key_prefix,
                   int64_t start_revision, fv_store_done_t event,
                   void *context);
void FvStore_StopWatch(fv_store_t *store);

#include "configuration.h"
#include "decision.h"

#endif

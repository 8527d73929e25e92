/*
 * Shared declarations. Each object has one .c file; its functions carry the
 * object's name as a prefix (FvRing_Push lives in ring.c). Functions are
 * documented where they are defined.
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

/* Sizes of names include the terminating NUL. */
#define Fv_NAME_SIZE 64
#define Fv_KEY_SIZE 129
#define Fv_URL_SIZE 256
#define Fv_ADDRESS_SIZE 64
#define Fv_DIGEST_SIZE 65
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

/* table.c: entries sorted by a key, which is the first member of each. */
typedef struct fv_table {
    uint32_t count;
    uint32_t capacity;
    void **entries;
} fv_table_t;

void *FvTable_Find(const fv_table_t *table, const char *key);
void *FvTable_Obtain(fv_table_t *table, const char *key, size_t key_size,
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
void FvLog_Close(void);
bool FvLog_ParseLevel(const char *text, fv_log_level_t *level);
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
bool FvText_IsName(const char *text, size_t max_length);
bool FvText_ParseAddress(const char *text, struct sockaddr_in *address);
void FvText_RandomHex(char *target, size_t size);
char *FvText_Base64(const void *data, size_t length);
bool FvText_FromBase64(const char *text, fv_buffer_t *out);
void FvText_Sha256Hex(const void *data, size_t length,
                      char digest[Fv_DIGEST_SIZE]);
uint64_t FvText_Hash(const void *data, size_t length, uint64_t seed);
uint64_t FvText_RendezvousWeight(const char *key, const char *host);

/* json.c: readers that report what is wrong instead of guessing. */
const char *FvJson_String(const json_t *object, const char *key);
int64_t FvJson_Int(const json_t *object, const char *key, int64_t fallback);
size_t FvJson_Depth(const char *text, size_t length);
bool FvJson_Bool(const json_t *object, const char *key, bool fallback);
bool FvJson_CopyString(const json_t *object, const char *key, char *target,
                       size_t size);

/* json-digest.c */
void FvJson_Digest(const json_t *value, char digest[Fv_DIGEST_SIZE]);

/* histogram.c: log-linear buckets, values in microseconds. */
typedef struct fv_histogram fv_histogram_t;

fv_histogram_t *FvHistogram_New(void);
void FvHistogram_Free(fv_histogram_t *histogram);
void FvHistogram_Record(fv_histogram_t *histogram, int64_t value_us);
int64_t FvHistogram_Quantile(const fv_histogram_t *histogram, double q);
uint64_t FvHistogram_Count(const fv_histogram_t *histogram);
int64_t FvHistogram_Max(const fv_histogram_t *histogram);
int64_t FvHistogram_Sum(const fv_histogram_t *histogram);

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
    Fv_COUNTER_STORE_IN_DOUBT,
    Fv_COUNTER_LEASE_RENEWALS,
    Fv_COUNTER_LEASE_LOSSES,
    Fv_COUNTER_LINK_BYTES_SENT,
    Fv_COUNTER_LINK_BYTES_RECEIVED,
    Fv_COUNTER_LINK_REJECTED,
    Fv_COUNTER_UPSTREAM_BYTES_SENT,
    Fv_COUNTER_UPSTREAM_BYTES_RECEIVED,
    Fv_COUNTER_HTTP_REQUESTS,
    Fv_COUNTER_HTTP_BAD_REQUESTS,
    Fv_COUNTER_CLAIM_CONFLICTS,
    Fv_COUNTER_CLAIMS_RECOVERED,
    Fv_COUNTER_QUARANTINES,
    Fv_COUNTER_DECISIONS,
    Fv_COUNTER_COUNT
} fv_counter_t;

typedef enum fv_timing {
    Fv_TIMING_WAIT,  /* submission to start */
    Fv_TIMING_RUN,   /* start to end */
    Fv_TIMING_TOTAL, /* submission to end */
    Fv_TIMING_COUNT
} fv_timing_t;

/* fv_class_t orders the queues: lower values are served first. */
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
void FvMetrics_AddRegionBytes(const char *member, uint64_t bytes);
void FvMetrics_Print(fv_buffer_t *out);

/* settings.c; FvToml_ReadFile of toml.cc is declared in toml.h. */
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

/* contract.c: what the active configuration grants one member. */
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

const fv_workload_t *FvContract_Workload(const fv_contract_t *contract,
                                         const char *name);
bool FvWorkload_NeedsClaim(const fv_workload_t *workload);
json_t *FvContract_ToJson(const fv_contract_t *contract);
bool FvContract_FromJson(const json_t *object, fv_contract_t *contract,
                         char reason[Fv_REASON_SIZE]);
bool FvContract_Equals(const fv_contract_t *a, const fv_contract_t *b);
void FvContract_Digest(const fv_contract_t *contract,
                       char digest[Fv_DIGEST_SIZE]);

/* config.c: immutable once published; read under rcu_read_lock. */
typedef struct fv_config {
    uint64_t version;
    char digest[Fv_DIGEST_SIZE];
    uint32_t contract_count;
    fv_contract_t *contracts;
    char (*contract_digests)[Fv_DIGEST_SIZE]; /* NULL: not yet computed */
} fv_config_t;

fv_config_t *FvConfig_New(uint64_t version, const fv_contract_t *contracts,
                          uint32_t count, const fv_config_t *base);
const fv_config_t *FvConfig_Read(void);
const fv_contract_t *FvConfig_Contract(const fv_config_t *config,
                                       const char *member);
uint64_t FvConfig_Version(void);
bool FvConfig_Publish(fv_config_t *config);
void FvConfig_Free(fv_config_t *config);
fv_config_t *FvConfig_FromJson(const json_t *object,
                               char reason[Fv_REASON_SIZE]);
json_t *FvConfig_ToJson(const fv_config_t *config);
void FvConfig_Digest(const fv_config_t *config, char digest[Fv_DIGEST_SIZE]);
void FvConfig_ContractDigest(const fv_config_t *config,
                             const fv_contract_t *contract,
                             char digest[Fv_DIGEST_SIZE]);
json_t *FvConfig_ContractDigests(const fv_config_t *config);
void FvConfig_DigestOf(uint64_t version, json_t *contract_digests,
                       char digest[Fv_DIGEST_SIZE]);

/* questionnaire.c: what a member answers about its workloads. */
typedef struct fv_workload_answers {
    char name[Fv_NAME_SIZE];
    bool someone_waits;
    bool may_repeat;
    bool may_overlap;
    bool until_stopped;
    int32_t tasks_together;
    int32_t may_queue;        /* 0: not answered */
    int64_t start_within_ms;  /* 0: not answered */
    int64_t finish_within_ms; /* 0: not answered */
    int64_t run_time_ms;      /* 0: not answered */
    fv_resources_t size;
} fv_workload_answers_t;

typedef struct fv_answers {
    bool leaves; /* when set, nothing else is filled in */
    int32_t weight;
    fv_resources_t quota;
    uint32_t workload_count;
    fv_workload_answers_t workloads[Fv_WORKLOADS_MAX];
} fv_answers_t;

bool FvQuestionnaire_Read(json_t *document, fv_answers_t *answers,
                          json_t *faults);
bool FvQuestionnaire_ParseDuration(const char *text, int64_t *ms);
bool FvQuestionnaire_ParseMemory(const char *text, int64_t *bytes);

/* generate.c: contracts and configurations from answers. */
void FvGenerate_Contract(const char *member, const fv_answers_t *answers,
                         fv_contract_t *contract);
fv_config_t *FvGenerate_Initial(json_t *answers_by_member,
                                char reason[Fv_REASON_SIZE]);
fv_config_t *FvGenerate_Change(const fv_config_t *base, const char *member,
                               json_t *answers, char reason[Fv_REASON_SIZE]);

/* proposal.c: records of proposals and votes; pure functions. */
typedef enum fv_vote {
    Fv_VOTE_NONE,
    Fv_VOTE_APPROVE,
    Fv_VOTE_REJECT
} fv_vote_t;

typedef struct fv_tally {
    uint32_t approved; /* required approvals given */
    uint32_t missing;  /* required approvals not given */
    uint32_t rejected;
    char first_missing[Fv_NAME_SIZE];
} fv_tally_t;

void FvProposal_NewId(uint64_t base_version, char id[Fv_KEY_SIZE]);
bool FvProposal_IsId(const char *id);
json_t *FvProposal_New(const char *id, const char *author,
                       const fv_config_t *base, const fv_config_t *next,
                       json_t *answers, int64_t created_ms);
void FvProposal_Digest(const json_t *proposal, char digest[Fv_DIGEST_SIZE]);
bool FvProposal_IsIntact(const json_t *proposal);
bool FvProposal_IsVoter(const json_t *proposal, const char *member);
bool FvProposal_MayRead(const json_t *proposal, const char *member);
bool FvProposal_MayVote(const json_t *proposal, const char *member);
char *FvProposal_VoteText(const char *member, bool approves,
                          const char *digest);
fv_vote_t FvProposal_Vote(const json_t *proposal, const json_t *votes,
                          const char *member);
void FvProposal_Count(const json_t *proposal, const json_t *votes,
                      const char *except, fv_tally_t *tally);
bool FvProposal_IsActiveIn(const json_t *proposal, const json_t *head);
bool FvProposal_BaseIsActive(const json_t *proposal, const json_t *head);
bool FvProposal_WasActivated(const json_t *proposal, const json_t *votes,
                             const json_t *head);
const char *FvProposal_State(const json_t *proposal, const json_t *votes,
                             const json_t *head);
json_t *FvProposal_Head(const json_t *proposal);
json_t *FvProposal_Summary(const json_t *proposal, const json_t *votes,
                           const json_t *head);
json_t *FvProposal_Diff(const json_t *proposal);

/* member.c: tokens by which members authenticate. */
typedef struct fv_tokens fv_tokens_t;

fv_tokens_t *FvTokens_Load(const char *path, char reason[Fv_REASON_SIZE]);
void FvTokens_Free(fv_tokens_t *tokens);
bool FvTokens_Authenticate(const fv_tokens_t *tokens, const char *token,
                           char member[Fv_NAME_SIZE]);

/* loop.c: the scheduler thread's event loop and timers. */
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
    int64_t due_ms;
    int32_t heap_index;
    bool armed;
    void (*fire)(void *owner);
    void *owner;
};

fv_loop_t *FvLoop_New(uint32_t capacity);
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
    Fv_HTTP_NOT_SENT, /* no byte of the request left this host */
    Fv_HTTP_EXPIRED,  /* not sent because not_after_ns had passed */
    Fv_HTTP_IN_DOUBT, /* the peer may have acted on the request */
    Fv_HTTP_TOO_LARGE
} fv_http_error_t;

typedef struct fv_http_response {
    fv_http_error_t error;
    int32_t status;
    uint8_t *body;
    size_t body_length;
    char task_state[16]; /* headers of a worker's answer */
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
    int64_t not_after_ns; /* boot time; 0: no limit */
    size_t answer_max_bytes;
    bool send_once; /* never repeated on a fresh connection */
    bool upstream;  /* counted as worker traffic */
    fv_http_done_t done;
    fv_http_data_t data; /* set for streams */
    void *context;
} fv_http_request_t;

fv_http_client_t *FvHttpClient_New(fv_loop_t *loop);
void FvHttpClient_Free(fv_http_client_t *client);
uint64_t FvHttpClient_Send(fv_http_client_t *client,
                           fv_http_request_t *request);
void FvHttpClient_Cancel(fv_http_client_t *client, uint64_t id);

/* store.c: the platform's key-value store (etcd v3 JSON). */
typedef struct fv_store fv_store_t;
typedef struct fv_store_txn fv_store_txn_t;

typedef enum fv_store_error {
    Fv_STORE_OK,
    Fv_STORE_UNAVAILABLE, /* the call surely had no effect */
    Fv_STORE_IN_DOUBT, /* the write may have taken or may still take effect */
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
    bool succeeded; /* transaction: all compares held */
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

/* config-head.c: joins the head with the contracts it names. */
typedef enum fv_config_head_result {
    Fv_CONFIG_HEAD_COMPLETE,
    Fv_CONFIG_HEAD_MISSING, /* a contract is not at hand */
    Fv_CONFIG_HEAD_MALFORMED
} fv_config_head_result_t;

bool FvConfigHead_AddContract(json_t *by_digest, const json_t *object);
void FvConfigHead_FromStore(const fv_store_result_t *result, json_t **head,
                            int64_t *revision, json_t *by_digest);
fv_config_head_result_t FvConfigHead_Assemble(const json_t *head,
                                              const fv_config_t *current,
                                              const json_t *by_digest,
                                              fv_config_t **config);

/* host.c: the cell's entry hosts and workers as listed by the platform. */
typedef struct fv_digest {
    uint64_t config_version;
    int64_t received_ms;
    bool draining;
    int32_t workers;                 /* that accept tasks */
    int32_t held;                    /* whose leases the host holds */
    fv_resources_t largest_capacity; /* each amount on its own */
    int32_t queued[Fv_CLASS_COUNT];
    fv_resources_t free_total;
    fv_resources_t free_largest; /* the largest free worker */
    fv_resources_t free_interactive;
    uint32_t usage_count;
    struct {
        char member[Fv_NAME_SIZE];
        fv_resources_t used;
    } usage[Fv_MEMBERS_MAX];
} fv_digest_t;

typedef struct fv_host {
    char name[Fv_NAME_SIZE];
    char region[Fv_NAME_SIZE];
    char data_center[Fv_NAME_SIZE];
    char link_address[Fv_ADDRESS_SIZE];
    char incarnation[Fv_NONCE_SIZE]; /* as told in its hello */
    bool listed_live;
    bool listed;
    bool linked;
    int64_t heard_ms;
    fv_digest_t digest;
} fv_host_t;

typedef struct fv_hosts {
    uint32_t count;
    fv_host_t *entries[Fv_HOSTS_MAX];
} fv_hosts_t;

fv_host_t *FvHosts_Find(const fv_hosts_t *hosts, const char *name);
fv_host_t *FvHosts_Add(fv_hosts_t *hosts, const char *name);
void FvHosts_Clear(fv_hosts_t *hosts);
bool FvHost_IsAlive(const fv_host_t *host, const fv_host_t *self,
                    int64_t now_ms);
const fv_host_t *FvHosts_RackCandidate(const fv_hosts_t *hosts,
                                       const fv_host_t *self,
                                       const char *data_center,
                                       const char *region, const char *rack,
                                       int64_t now_ms);
const fv_host_t *FvHosts_Successor(const fv_hosts_t *hosts,
                                   const fv_host_t *self, const char *dead,
                                   int64_t now_ms);

/* lease.c: one worker's lease as its holder sees it. */
#define Fv_START_GRACE_MS 300 /* drift of clocks and packets in flight */

typedef struct fv_lease {
    bool held;
    uint64_t term;
    int64_t expires_ns;     /* boot time, from before the renewal was sent */
    int64_t start_from_ns;  /* no start before this */
    int64_t last_expiry_ns; /* when the last lease held here ended */
} fv_lease_t;

bool FvLease_AllowsStart(const fv_lease_t *lease, int64_t now_ns);
void FvLease_Granted(fv_lease_t *lease, uint64_t term, int64_t sent_ns,
                     int64_t now_ns, int32_t ttl_ms);
void FvLease_Lost(fv_lease_t *lease, int64_t now_ns);
bool FvLease_Expired(const fv_lease_t *lease, int64_t now_ns);

/* quarantine.c */
typedef struct fv_quarantine {
    int32_t failures_in_row;
    int64_t until_ms;
    int64_t backoff_ms;
    bool probing;
} fv_quarantine_t;

bool FvQuarantine_Allows(const fv_quarantine_t *quarantine, int64_t now_ms);
void FvQuarantine_Started(fv_quarantine_t *quarantine, int64_t now_ms);
bool FvQuarantine_Failed(fv_quarantine_t *quarantine, int64_t now_ms);
void FvQuarantine_Succeeded(fv_quarantine_t *quarantine);
void FvQuarantine_Abandoned(fv_quarantine_t *quarantine);

/* worker.c: the ledger of one worker. Task entries include reservations. */
typedef enum fv_task_state {
    Fv_TASK_RESERVED,
    Fv_TASK_STARTING,
    Fv_TASK_RUNNING,
    Fv_TASK_DONE,
    Fv_TASK_FAILED,
    Fv_TASK_STOPPED,
    Fv_TASK_NEVER_STARTED,
    Fv_TASK_UNKNOWN
} fv_task_state_t;

const char *FvTaskState_Name(fv_task_state_t state);
bool FvTaskState_Parse(const char *name, fv_task_state_t *state);
bool FvTaskState_Ended(fv_task_state_t state);

typedef struct fv_task {
    char id[Fv_TASK_ID_SIZE];
    char member[Fv_NAME_SIZE];
    char workload[Fv_NAME_SIZE];
    fv_class_t class_id;
    fv_task_state_t state;
    fv_resources_t size; /* what the ledger counts */
    fv_resources_t used; /* last reported usage */
    int64_t expires_ms;  /* reservation only */
    int64_t accrued_ms;  /* accounted up to this time */
    int64_t ran_ms;      /* as last told by the worker */
    struct fv_task *next;
} fv_task_t;

typedef struct fv_worker {
    char name[Fv_NAME_SIZE];
    char region[Fv_NAME_SIZE];
    char data_center[Fv_NAME_SIZE];
    char rack[Fv_NAME_SIZE];
    char base_url[Fv_URL_SIZE];
    bool listed;
    bool leaving;
    fv_lease_t lease;
    fv_quarantine_t quarantine;
    fv_resources_t capacity;
    fv_resources_t free;
    int32_t connections;
    int32_t connections_used;
    fv_task_t *tasks;
    int64_t seen_sequence; /* last worker event taken from a renewal */
    int32_t index_slot;    /* owned by placement.c */
    void *holder;          /* owned by holder.c */
} fv_worker_t;

fv_worker_t *FvWorker_New(const char *name);
void FvWorker_Free(fv_worker_t *worker);
bool FvWorker_Accepts(const fv_worker_t *worker, int64_t now_ms);
void FvWorker_SetCapacity(fv_worker_t *worker, const fv_resources_t *capacity);
fv_task_t *FvWorker_FindTask(const fv_worker_t *worker, const char *id);
fv_task_t *FvWorker_AddTask(fv_worker_t *worker, const fv_task_t *task);
void FvWorker_RemoveTask(fv_worker_t *worker, fv_task_t *task);
void FvWorker_ResizeTask(fv_worker_t *worker, fv_task_t *task,
                         const fv_resources_t *size);
uint32_t FvWorker_ExpireReservations(fv_worker_t *worker, int64_t now_ms);
void FvWorker_ClearTasks(fv_worker_t *worker);

/* job.c */
typedef enum fv_job_state {
    Fv_JOB_ADMITTING, /* claim not yet written */
    Fv_JOB_QUEUED,
    Fv_JOB_RUNNING,
    Fv_JOB_ENDED
} fv_job_state_t;

typedef enum fv_outcome {
    Fv_OUTCOME_NONE,
    Fv_OUTCOME_DONE,
    Fv_OUTCOME_FAILED,
    Fv_OUTCOME_CANCELLED,
    Fv_OUTCOME_NOT_RUN,
    Fv_OUTCOME_UNKNOWN
} fv_outcome_t;

const char *FvJobState_Name(fv_job_state_t state);
const char *FvOutcome_Name(fv_outcome_t outcome);
bool FvOutcome_Parse(const char *name, fv_outcome_t *outcome);

typedef struct fv_job {
    char member[Fv_NAME_SIZE];
    char key[Fv_KEY_SIZE];
    char body_digest[Fv_DIGEST_SIZE];
    fv_workload_t workload;
    fv_job_state_t state;
    fv_outcome_t outcome;
    char reason[Fv_REASON_SIZE];
    uint8_t *payload;
    size_t payload_length;
    uint8_t *answer;
    size_t answer_length;
    int64_t submitted_ms;    /* wall */
    int64_t start_before_ms; /* wall; 0: none */
    int64_t deadline_ms;     /* wall; 0: none */
    int64_t latest_start_ms; /* wall; FvPolicyDeadline_SetLatestStart */
    int64_t submitted_ns;    /* boot */
    int64_t started_ns;      /* boot */
    bool cancel_requested;
    int32_t attempts;
    void *run; /* owned by the job runner */
    /* Owned by queue.c. */
    bool queued;
    uint32_t queue_index;
    uint64_t queue_order;
    void *queue_member;
} fv_job_t;

fv_job_t *FvJob_New(const char *member, const char *key,
                    const fv_workload_t *workload);
void FvJob_Free(fv_job_t *job);

/* share.c: weighted dominant-resource fairness. */
typedef struct fv_shares fv_shares_t;

fv_shares_t *FvShares_New(void);
void FvShares_Free(fv_shares_t *shares);
void FvShares_Configure(fv_shares_t *shares, const fv_config_t *config);
void FvShares_SetCapacity(fv_shares_t *shares, const fv_resources_t *total);
void FvShares_Add(fv_shares_t *shares, const char *member,
                  const fv_resources_t *size);
void FvShares_Subtract(fv_shares_t *shares, const char *member,
                       const fv_resources_t *size);
void FvShares_SetRemote(fv_shares_t *shares, const char *host,
                        const char *member, const fv_resources_t *used);
void FvShares_DropRemote(fv_shares_t *shares, const char *host);
double FvShares_Dominant(const fv_shares_t *shares, const char *member);
bool FvShares_WithinQuota(const fv_shares_t *shares, const char *member,
                          const fv_resources_t *size);
void FvShares_Local(const fv_shares_t *shares, const char *member,
                    fv_resources_t *used);
json_t *FvShares_ToJson(const fv_shares_t *shares);

/* policy.c, policy-*.c: one vtable a class; no clocks, no sockets. */
typedef struct fv_policy {
    const char *name;
    bool widest_first;  /* placement visits the emptiest workers first */
    bool spreads_racks; /* score needs tasks_of_job_in_rack */
    /* A job that waited hold_after_ms and does not fit holds back the rest
       of its queue for hold_for_ms, then lets it pass again; 0: never. */
    int64_t hold_after_ms;
    int64_t hold_for_ms;
    /* Negative when a is to start before b; both of one member. */
    int (*compare)(const fv_job_t *a, const fv_job_t *b);
    /* What a task of this class may use of the worker right now. */
    void (*usable)(const fv_worker_t *worker, fv_resources_t *usable);
    /* Higher is better; called only for workers on which the task fits. */
    int64_t (*score)(const fv_worker_t *worker, const fv_resources_t *size,
                     uint32_t tasks_of_job_in_rack);
    /* Lower classes that may be checkpointed or throttled for this one. */
    bool (*may_displace)(const fv_task_t *task);
} fv_policy_t;

extern const fv_policy_t fv_policy_interactive;
extern const fv_policy_t fv_policy_deadline;
extern const fv_policy_t fv_policy_gang;
extern const fv_policy_t fv_policy_service;

const fv_policy_t *FvPolicy_ForClass(fv_class_t class_id);
void FvPolicyDeadline_SetLatestStart(fv_job_t *job, int64_t run_ms);
int FvPolicy_CompareSubmitted(const fv_job_t *a, const fv_job_t *b);
void FvPolicy_LeaveHeadroom(const fv_worker_t *worker, fv_resources_t *usable);
int64_t FvPolicy_BestFit(const fv_worker_t *worker, const fv_resources_t *size,
                         uint32_t tasks_of_job_in_rack);

/* queue.c: bounded queues of one class, one for each member. */
typedef struct fv_queue fv_queue_t;

typedef enum fv_queue_error {
    Fv_QUEUE_OK,
    Fv_QUEUE_FULL,
    Fv_QUEUE_MEMBER_FULL,
    Fv_QUEUE_NO_MEMORY
} fv_queue_error_t;

fv_queue_t *FvQueue_New(const fv_policy_t *policy, uint32_t limit);
void FvQueue_Free(fv_queue_t *queue);
fv_queue_error_t FvQueue_Push(fv_queue_t *queue, fv_job_t *job);
void FvQueue_Remove(fv_queue_t *queue, fv_job_t *job);
void FvQueue_BeginPass(fv_queue_t *queue, int64_t now_wall_ms);
fv_job_t *FvQueue_Next(fv_queue_t *queue, const fv_shares_t *shares);
void FvQueue_Skip(fv_queue_t *queue, fv_job_t *job);
const fv_job_t *FvQueue_Holding(const fv_queue_t *queue);
uint32_t FvQueue_Count(const fv_queue_t *queue);
void FvQueue_Reorder(fv_queue_t *queue,
                     void (*update)(fv_job_t *job, void *context),
                     void *context);

/* placement.c: index of the workers held by this host. */
typedef struct fv_placement fv_placement_t;

fv_placement_t *FvPlacement_New(void);
void FvPlacement_Free(fv_placement_t *placement);
bool FvPlacement_Add(fv_placement_t *placement, fv_worker_t *worker);
void FvPlacement_Remove(fv_placement_t *placement, fv_worker_t *worker);
void FvPlacement_Update(fv_placement_t *placement, fv_worker_t *worker);
fv_worker_t *FvPlacement_Choose(fv_placement_t *placement,
                                const fv_policy_t *policy,
                                const fv_resources_t *size, const char *job_id,
                                int64_t now_ms);
bool FvPlacement_CanEverFit(const fv_placement_t *placement,
                            const fv_policy_t *policy,
                            const fv_resources_t *size);
void FvPlacement_Summarize(const fv_placement_t *placement,
                           fv_digest_t *digest, int64_t now_ms);

/* route.c: order in which hosts are asked to place a job. */
uint32_t FvRoute_Rank(const fv_hosts_t *hosts, const fv_host_t *self,
                      const fv_workload_t *workload, int64_t waited_ms,
                      int64_t now_ms, uint64_t random,
                      const fv_host_t **ranked, uint32_t limit);

/* estimate.c: learned run times and sizes by member and workload. */
typedef struct fv_estimates fv_estimates_t;

fv_estimates_t *FvEstimates_New(void);
void FvEstimates_Free(fv_estimates_t *estimates);
void FvEstimates_Observe(fv_estimates_t *estimates, const char *member,
                         const char *workload, int64_t run_ms,
                         const fv_resources_t *used);
int64_t FvEstimates_RunMs(const fv_estimates_t *estimates, const char *member,
                          const fv_workload_t *workload);
void FvEstimates_Size(const fv_estimates_t *estimates, const char *member,
                      const fv_workload_t *workload, fv_resources_t *size);
json_t *FvEstimates_ToJson(const fv_estimates_t *estimates);
void FvEstimates_Merge(fv_estimates_t *estimates, const json_t *saved);

/* retry.c */
typedef struct fv_retry_budget {
    int64_t tokens_milli;
    int64_t refilled_ms;
} fv_retry_budget_t;

void FvRetryBudget_Deposit(fv_retry_budget_t *budget);
bool FvRetryBudget_Take(fv_retry_budget_t *budget, int64_t now_ms);
void FvRetryBudget_Refund(fv_retry_budget_t *budget);
int64_t FvRetry_BackoffMs(int32_t attempt, uint64_t random);

/* account.c: resource-seconds by member, summed over lease holders. */
typedef struct fv_accounts fv_accounts_t;

fv_accounts_t *FvAccounts_New(void);
void FvAccounts_Free(fv_accounts_t *accounts);
void FvAccounts_Accrue(fv_accounts_t *accounts, const char *member,
                       const fv_resources_t *size, int64_t ms);
json_t *FvAccounts_ToJson(const fv_accounts_t *accounts);
void FvAccounts_AddJson(fv_accounts_t *accounts, const json_t *saved);
json_t *FvAccounts_Member(const fv_accounts_t *accounts, const char *member);

/* The daemon's own objects are declared in daemon.h. */

#endif

/*
 * Questionnaire answers, generated contracts, proposals and the configuration
 * head. Included by fireflyvalve.h.
 */

#ifndef CONFIGURATION_H
#define CONFIGURATION_H

#include "fireflyvalve.h"

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
    bool leaves; /* the member leaves; no other field is set */
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
fv_config_t *FvGenerate_InitialConfig(json_t *answers_by_member,
                                      char reason[Fv_REASON_SIZE]);
fv_config_t *FvGenerate_NextConfig(const fv_config_t *base, const char *member,
                                   json_t *answers,
                                   char reason[Fv_REASON_SIZE]);

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
bool FvProposal_IsValidId(const char *id);
json_t *FvProposal_New(const char *id, const char *author,
                       const fv_config_t *base, const fv_config_t *next,
                       json_t *answers, int64_t created_ms);
void FvProposal_Digest(const json_t *proposal,
                       char digest[Fv_HASH256_HEX_SIZE]);
bool FvProposal_IsIntact(const json_t *proposal);
bool FvProposal_IsVoter(const json_t *proposal, const char *member);
bool FvProposal_MayRead(const json_t *proposal, const char *member);
bool FvProposal_MayVote(const json_t *proposal, const char *member);
char *FvProposal_EncodeVote(const char *member, bool approves,
                            const char *digest);
fv_vote_t FvProposal_GetVote(const json_t *proposal, const json_t *votes,
                             const char *member);
void FvProposal_CountVotes(const json_t *proposal, const json_t *votes,
                           const char *except, fv_tally_t *tally);
bool FvProposal_IsActive(const json_t *proposal, const json_t *head);
bool FvProposal_BaseIsActive(const json_t *proposal, const json_t *head);
bool FvProposal_WasActivated(const json_t *proposal, const json_t *votes,
                             const json_t *head);
const char *FvProposal_State(const json_t *proposal, const json_t *votes,
                             const json_t *head);
json_t *FvProposal_NewHead(const json_t *proposal);
json_t *FvProposal_Summary(const json_t *proposal, const json_t *votes,
                           const json_t *head);
json_t *FvProposal_Diff(const json_t *proposal);

/* config-head.c: builds a configuration from a head and contracts. */
typedef enum fv_config_head_result {
    Fv_CONFIG_HEAD_COMPLETE,
    Fv_CONFIG_HEAD_INCOMPLETE, /* a contract is missing */
    Fv_CONFIG_HEAD_MALFORMED
} fv_config_head_result_t;

bool FvConfigHead_AddContract(json_t *by_digest, const json_t *object);
void FvConfigHead_FromStore(const fv_store_result_t *result, json_t **head,
                            int64_t *revision, json_t *by_digest);
fv_config_head_result_t FvConfigHead_BuildConfig(const json_t *head,
                                                 const fv_config_t *current,
                                                 const json_t *by_digest,
                                                 fv_config_t **config);

#endif

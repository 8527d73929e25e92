/*
 * Proposals through the handlers: whatever members do at the same time and
 * whatever the store loses, there is exactly one activation, and none that a
 * member did not approve.
 */

#include "daemon.h"
#include "fake_store.h"
#include "sample_answers.h"
#include "suite.h"

#include <urcu.h>

static fv_daemon_t cell;
static int activations;

/* Replaces the configurator: publishes what was activated. */
void
FvConfigSync_OnProposalActivated(fv_config_sync_t *config_sync, json_t *head,
                                 json_t *contracts)
{
    json_t *by_digest = json_object();
    fv_config_t *config = NULL;
    const char *member;
    json_t *contract;

    (void)config_sync;
    activations++;
    json_object_foreach(contracts, member, contract)
    {
        CU_ASSERT_TRUE(FvConfigHead_AddContract(by_digest, contract));
    }
    FvConfigHead_BuildConfig(head, FvConfig_GetActive(), by_digest, &config);
    if (config != NULL && !FvConfig_Publish(config)) {
        FvConfig_Free(config);
    }
    json_decref(by_digest);
}

void
FvLog_Event(fv_log_level_t level, const char *event, const char *format, ...)
{
    (void)level;
    (void)event;
    (void)format;
}

void
FvTicket_ReplyJson(fv_ticket_t *ticket, int32_t status, json_t *reply)
{
    CU_ASSERT_EQUAL(ticket->status, 0);
    ticket->status = status;
    ticket->reply = reply;
}

void
FvTicket_ReplyProblem(fv_ticket_t *ticket, int32_t status, const char *outcome,
                      int64_t retry_after_ms, const char *format, ...)
{
    (void)outcome;
    (void)format;
    CU_ASSERT_EQUAL(ticket->status, 0);
    ticket->status = status;
    ticket->retry_after_ms = retry_after_ms;
}

typedef void (*handler_t)(fv_daemon_t *daemon, fv_ticket_t *ticket);

static void
begin(fv_ticket_t *ticket, handler_t handler, const char *member,
      const char *id, json_t *body)
{
    memset(ticket, 0, sizeof(*ticket));
    FvText_Copy(ticket->member, sizeof(ticket->member), member);
    FvText_Copy(ticket->params[0], sizeof(ticket->params[0]), id);
    ticket->body = body;
    handler(&cell, ticket);
}

static void
end(fv_ticket_t *ticket)
{
    json_decref(ticket->body);
    json_decref(ticket->reply);
}

static int
request(handler_t handler, const char *member, const char *id, json_t *body)
{
    fv_ticket_t ticket;

    begin(&ticket, handler, member, id, body);
    fake_store_run();
    end(&ticket);
    return ticket.status;
}

typedef struct proposal_ref {
    char id[Fv_KEY_SIZE];
    char digest[Fv_DIGEST_SIZE];
} proposal_ref_t;

static proposal_ref_t
propose(const char *member, int weight)
{
    proposal_ref_t ref = {0};
    fv_ticket_t ticket;

    CU_ASSERT_EQUAL(request(FvApiConfig_PutAnswers, member, "",
                            sample_with_weight(weight)),
                    200);
    begin(&ticket, FvApiConfig_GenerateProposal, member, "", NULL);
    fake_store_run();
    CU_ASSERT_EQUAL(ticket.status, 201);
    FvJson_CopyString(ticket.reply, "id", ref.id, sizeof(ref.id));
    FvJson_CopyString(ticket.reply, "digest", ref.digest, sizeof(ref.digest));
    end(&ticket);
    return ref;
}

static json_t *
ballot(const proposal_ref_t *ref)
{
    return json_pack("{s:s}", "digest", ref->digest);
}

static int
approve(const char *member, const proposal_ref_t *ref)
{
    return request(FvApiConfig_Approve, member, ref->id, ballot(ref));
}

static int
reject(const char *member, const proposal_ref_t *ref)
{
    return request(FvApiConfig_Reject, member, ref->id, ballot(ref));
}

static int64_t
active_version(void)
{
    json_t *head = json_loads(
        json_string_value(json_object_get(fake_store.values, "config/head"))
            ? json_string_value(
                  json_object_get(fake_store.values, "config/head"))
            : "{}",
        0, NULL);
    int64_t version = FvJson_Int(head, "version", 0);

    json_decref(head);
    return version;
}

/* Two members, whose first configuration is active. */
static void
start_cell(void)
{
    proposal_ref_t ref;

    fake_store_reset();
    activations = 0;
    CU_ASSERT_EQUAL(
        request(FvApiConfig_PutAnswers, "auckland", "", sample_with_weight(1)),
        200);
    ref = propose("otago", 2);
    CU_ASSERT_EQUAL(approve("otago", &ref), 200);
    CU_ASSERT_EQUAL(active_version(), 0);
    CU_ASSERT_EQUAL(approve("auckland", &ref), 200);
    CU_ASSERT_EQUAL(active_version(), 1);
    CU_ASSERT_EQUAL(activations, 1);
}

static void
test_joining_needs_every_member(void)
{
    proposal_ref_t ref;

    start_cell();
    ref = propose("waikato", 3);
    CU_ASSERT_EQUAL(approve("waikato", &ref), 200);
    CU_ASSERT_EQUAL(approve("auckland", &ref), 200);
    CU_ASSERT_EQUAL(active_version(), 1);
    CU_ASSERT_EQUAL(approve("stranger", &ref), 403);
    CU_ASSERT_EQUAL(approve("otago", &ref), 200);
    CU_ASSERT_EQUAL(active_version(), 2);
    CU_ASSERT_PTR_NOT_NULL(
        json_object_get(fake_store.values, "config/member/waikato"));
    CU_ASSERT_EQUAL(approve("otago", &ref), 200);
    CU_ASSERT_EQUAL(active_version(), 2);
}

static void
test_simultaneous_last_votes_activate_once(void)
{
    fv_ticket_t first;
    fv_ticket_t second;
    proposal_ref_t ref;

    start_cell();
    ref = propose("otago", 7);
    begin(&first, FvApiConfig_Approve, "otago", ref.id, ballot(&ref));
    begin(&second, FvApiConfig_Approve, "auckland", ref.id, ballot(&ref));
    fake_store_run();
    CU_ASSERT_EQUAL(first.status, 200);
    CU_ASSERT_EQUAL(second.status, 200);
    CU_ASSERT_EQUAL(active_version(), 2);
    CU_ASSERT_EQUAL(activations, 2);
    end(&first);
    end(&second);
}

static void
test_rival_proposals_activate_once(void)
{
    fv_ticket_t first;
    fv_ticket_t second;
    proposal_ref_t a;
    proposal_ref_t b;

    start_cell();
    a = propose("otago", 7);
    b = propose("auckland", 8);
    CU_ASSERT_EQUAL(approve("otago", &a), 200);
    CU_ASSERT_EQUAL(approve("auckland", &b), 200);
    begin(&first, FvApiConfig_Approve, "auckland", a.id, ballot(&a));
    begin(&second, FvApiConfig_Approve, "otago", b.id, ballot(&b));
    fake_store_run();
    CU_ASSERT_EQUAL(first.status + second.status, 200 + 409);
    CU_ASSERT_EQUAL(active_version(), 2);
    end(&first);
    end(&second);
}

static void
test_lost_answer_is_read_back(void)
{
    proposal_ref_t ref;

    start_cell();
    ref = propose("otago", 7);
    fake_store.fault = FAKE_LOSE_ANSWER;
    CU_ASSERT_EQUAL(approve("otago", &ref), 200);
    fake_store.fault = FAKE_LOSE_ANSWER;
    CU_ASSERT_EQUAL(approve("auckland", &ref), 200);
    CU_ASSERT_EQUAL(active_version(), 2);
    ref = propose("otago", 8);
    fake_store.fault = FAKE_LOSE_REQUEST;
    CU_ASSERT_EQUAL(approve("otago", &ref), 200);
    fake_store.fault = FAKE_LOSE_REQUEST;
    CU_ASSERT_EQUAL(approve("auckland", &ref), 200);
    CU_ASSERT_EQUAL(active_version(), 3);
}

static void
test_store_away_changes_nothing(void)
{
    fv_ticket_t ticket;
    proposal_ref_t ref;

    start_cell();
    ref = propose("otago", 7);
    fake_store.fault = FAKE_UNAVAILABLE;
    begin(&ticket, FvApiConfig_Approve, "otago", ref.id, ballot(&ref));
    fake_store_run();
    CU_ASSERT_EQUAL(ticket.status, 503);
    CU_ASSERT_TRUE(ticket.retry_after_ms > 0);
    end(&ticket);
    CU_ASSERT_EQUAL(request(FvApiConfig_GenerateProposal, "otago", "", NULL),
                    503);
    CU_ASSERT_EQUAL(request(FvApiConfig_ListProposals, "otago", "", NULL),
                    503);
    fake_store.fault = FAKE_NO_FAULT;
    CU_ASSERT_EQUAL(approve("otago", &ref), 200);
    CU_ASSERT_EQUAL(active_version(), 1);
}

static void
test_rejected_proposal_stays_dead(void)
{
    fv_ticket_t first;
    fv_ticket_t second;
    proposal_ref_t ref;

    start_cell();
    ref = propose("otago", 7);
    CU_ASSERT_EQUAL(reject("auckland", &ref), 200);
    CU_ASSERT_EQUAL(approve("otago", &ref), 409);
    CU_ASSERT_EQUAL(approve("auckland", &ref), 409);
    ref = propose("waikato", 7);
    CU_ASSERT_EQUAL(approve("otago", &ref), 200);
    begin(&first, FvApiConfig_Reject, "waikato", ref.id, ballot(&ref));
    begin(&second, FvApiConfig_Approve, "auckland", ref.id, ballot(&ref));
    fake_store_run();
    CU_ASSERT_EQUAL(first.status, 200);
    CU_ASSERT_EQUAL(second.status, 409);
    CU_ASSERT_EQUAL(active_version(), 1);
    end(&first);
    end(&second);
}

static void
test_changed_mind_stops_activation(void)
{
    fv_ticket_t first;
    fv_ticket_t second;
    proposal_ref_t ref;

    start_cell();
    ref = propose("otago", 7);
    CU_ASSERT_EQUAL(approve("otago", &ref), 200);
    begin(&first, FvApiConfig_Reject, "otago", ref.id, ballot(&ref));
    begin(&second, FvApiConfig_Approve, "auckland", ref.id, ballot(&ref));
    fake_store_run();
    CU_ASSERT_EQUAL(first.status, 200);
    CU_ASSERT_EQUAL(second.status, 409);
    CU_ASSERT_EQUAL(active_version(), 1);
    end(&first);
    end(&second);
}

static void
test_wrong_digest_and_old_base_conflict(void)
{
    proposal_ref_t ref;
    proposal_ref_t old;
    proposal_ref_t altered;

    start_cell();
    old = propose("auckland", 9);
    ref = propose("otago", 7);
    altered = ref;
    altered.digest[0] = altered.digest[0] == '0' ? '1' : '0';
    CU_ASSERT_EQUAL(approve("otago", &altered), 409);
    CU_ASSERT_EQUAL(
        request(FvApiConfig_Approve, "otago", ref.id, json_object()), 400);
    CU_ASSERT_EQUAL(approve("otago", &ref), 200);
    CU_ASSERT_EQUAL(approve("auckland", &ref), 200);
    CU_ASSERT_EQUAL(active_version(), 2);
    CU_ASSERT_EQUAL(approve("otago", &old), 409);
    CU_ASSERT_EQUAL(reject("otago", &ref), 409);
    CU_ASSERT_EQUAL(request(FvApiConfig_ShowProposal, "otago",
                            "0000000001-ffffffff", NULL),
                    404);
}

static void
test_listing_and_reading(void)
{
    fv_ticket_t ticket;
    proposal_ref_t ref;

    start_cell();
    ref = propose("otago", 7);
    begin(&ticket, FvApiConfig_ListProposals, "auckland", "", NULL);
    fake_store_run();
    CU_ASSERT_EQUAL(
        json_array_size(json_object_get(ticket.reply, "proposals")), 2);
    end(&ticket);
    CU_ASSERT_EQUAL(
        request(FvApiConfig_ShowProposal, "auckland", ref.id, NULL), 200);
    CU_ASSERT_EQUAL(
        request(FvApiConfig_DiffProposal, "auckland", ref.id, NULL), 200);
    CU_ASSERT_EQUAL(
        request(FvApiConfig_ShowProposal, "stranger", ref.id, NULL), 403);
    CU_ASSERT_EQUAL(request(FvApiConfig_PutAnswers, "otago", "",
                            json_pack("{s:i}", "weight", 1)),
                    400);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a member joins without every approval",
         test_joining_needs_every_member},
        {"simultaneous last votes activate twice or never",
         test_simultaneous_last_votes_activate_once},
        {"two proposals on one base are both activated",
         test_rival_proposals_activate_once},
        {"a lost answer loses or repeats an activation",
         test_lost_answer_is_read_back},
        {"a store that is away changes something or hangs",
         test_store_away_changes_nothing},
        {"a rejected or withdrawn proposal is activated",
         test_rejected_proposal_stays_dead},
        {"an approval that was taken back activates",
         test_changed_mind_stops_activation},
        {"an approval of something else counts",
         test_wrong_digest_and_old_base_conflict},
        {"a stranger reads a proposal, or faulty answers are saved",
         test_listing_and_reading},
    };

    int result;

    rcu_register_thread();
    result = Fv_RUN_SUITE("vote", cases);
    rcu_unregister_thread();
    return result;
}

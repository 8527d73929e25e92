/*
 * Votes on proposals through the API handlers: with concurrent requests and
 * lost store requests or replies, exactly one proposal is activated on a base
 * version, and none that a required member has not approved.
 */

#include "daemon.h"
#include "fake_store.h"
#include "sample_answers.h"
#include "suite.h"

#include <urcu.h>

static fv_daemon_t test_daemon;
static int activation_count;

/* Replaces the configurator: publishes the activated configuration. */
void
FvConfigSync_OnProposalActivated(fv_config_sync_t *config_sync, json_t *head,
                                 json_t *contracts)
{
    json_t *by_digest = json_object();
    fv_config_t *config = NULL;
    const char *member;
    json_t *contract;

    (void)config_sync;
    activation_count++;
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
begin_request(fv_ticket_t *ticket, handler_t handler, const char *member,
              const char *id, json_t *body)
{
    memset(ticket, 0, sizeof(*ticket));
    FvText_Copy(ticket->member, sizeof(ticket->member), member);
    FvText_Copy(ticket->params[0], sizeof(ticket->params[0]), id);
    ticket->body = body;
    handler(&test_daemon, ticket);
}

static void
end_request(fv_ticket_t *ticket)
{
    json_decref(ticket->body);
    json_decref(ticket->reply);
}

static int
run_request(handler_t handler, const char *member, const char *id,
            json_t *body)
{
    fv_ticket_t ticket;

    begin_request(&ticket, handler, member, id, body);
    fake_store_run();
    end_request(&ticket);
    return ticket.status;
}

typedef struct proposal_ref {
    char id[Fv_KEY_SIZE];
    char digest[Fv_HASH256_HEX_SIZE];
} proposal_ref_t;

static proposal_ref_t
create_proposal(const char *member, int weight)
{
    proposal_ref_t ref = {0};
    fv_ticket_t ticket;

    CU_ASSERT_EQUAL(run_request(FvApiConfig_PutAnswers, member, "",
                                sample_answers_with_weight(weight)),
                    200);
    begin_request(&ticket, FvApiConfig_GenerateProposal, member, "", NULL);
    fake_store_run();
    CU_ASSERT_EQUAL(ticket.status, 201);
    FvJson_CopyString(ticket.reply, "id", ref.id, sizeof(ref.id));
    FvJson_CopyString(ticket.reply, "digest", ref.digest, sizeof(ref.digest));
    end_request(&ticket);
    return ref;
}

static json_t *
make_vote_body(const proposal_ref_t *ref)
{
    return json_pack("{s:s}", "digest", ref->digest);
}

static int
approve(const char *member, const proposal_ref_t *ref)
{
    return run_request(FvApiConfig_Approve, member, ref->id,
                       make_vote_body(ref));
}

static int
reject(const char *member, const proposal_ref_t *ref)
{
    return run_request(FvApiConfig_Reject, member, ref->id,
                       make_vote_body(ref));
}

static int64_t
stored_version(void)
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

/* Activates a first configuration with two members. */
static void
activate_first_config(void)
{
    proposal_ref_t ref;

    fake_store_reset();
    activation_count = 0;
    CU_ASSERT_EQUAL(run_request(FvApiConfig_PutAnswers, "auckland", "",
                                sample_answers_with_weight(1)),
                    200);
    ref = create_proposal("otago", 2);
    CU_ASSERT_EQUAL(approve("otago", &ref), 200);
    CU_ASSERT_EQUAL(stored_version(), 0);
    CU_ASSERT_EQUAL(approve("auckland", &ref), 200);
    CU_ASSERT_EQUAL(stored_version(), 1);
    CU_ASSERT_EQUAL(activation_count, 1);
}

static void
test_join_needs_every_approval(void)
{
    proposal_ref_t ref;

    activate_first_config();
    ref = create_proposal("waikato", 3);
    CU_ASSERT_EQUAL(approve("waikato", &ref), 200);
    CU_ASSERT_EQUAL(approve("auckland", &ref), 200);
    CU_ASSERT_EQUAL(stored_version(), 1);
    CU_ASSERT_EQUAL(approve("stranger", &ref), 403);
    CU_ASSERT_EQUAL(approve("otago", &ref), 200);
    CU_ASSERT_EQUAL(stored_version(), 2);
    CU_ASSERT_PTR_NOT_NULL(
        json_object_get(fake_store.values, "config/member/waikato"));
    CU_ASSERT_EQUAL(approve("otago", &ref), 200);
    CU_ASSERT_EQUAL(stored_version(), 2);
}

static void
test_concurrent_last_votes_activate_once(void)
{
    fv_ticket_t first;
    fv_ticket_t second;
    proposal_ref_t ref;

    activate_first_config();
    ref = create_proposal("otago", 7);
    begin_request(&first, FvApiConfig_Approve, "otago", ref.id,
                  make_vote_body(&ref));
    begin_request(&second, FvApiConfig_Approve, "auckland", ref.id,
                  make_vote_body(&ref));
    fake_store_run();
    CU_ASSERT_EQUAL(first.status, 200);
    CU_ASSERT_EQUAL(second.status, 200);
    CU_ASSERT_EQUAL(stored_version(), 2);
    CU_ASSERT_EQUAL(activation_count, 2);
    end_request(&first);
    end_request(&second);
}

static void
test_conflicting_proposals_activate_once(void)
{
    fv_ticket_t first;
    fv_ticket_t second;
    proposal_ref_t a;
    proposal_ref_t b;

    activate_first_config();
    a = create_proposal("otago", 7);
    b = create_proposal("auckland", 8);
    CU_ASSERT_EQUAL(approve("otago", &a), 200);
    CU_ASSERT_EQUAL(approve("auckland", &b), 200);
    begin_request(&first, FvApiConfig_Approve, "auckland", a.id,
                  make_vote_body(&a));
    begin_request(&second, FvApiConfig_Approve, "otago", b.id,
                  make_vote_body(&b));
    fake_store_run();
    CU_ASSERT_EQUAL(first.status + second.status, 200 + 409);
    CU_ASSERT_EQUAL(stored_version(), 2);
    end_request(&first);
    end_request(&second);
}

static void
test_unconfirmed_commit_is_read_back(void)
{
    proposal_ref_t ref;

    activate_first_config();
    ref = create_proposal("otago", 7);
    fake_store.fault = FAKE_LOSE_ANSWER;
    CU_ASSERT_EQUAL(approve("otago", &ref), 200);
    fake_store.fault = FAKE_LOSE_ANSWER;
    CU_ASSERT_EQUAL(approve("auckland", &ref), 200);
    CU_ASSERT_EQUAL(stored_version(), 2);
    ref = create_proposal("otago", 8);
    fake_store.fault = FAKE_LOSE_REQUEST;
    CU_ASSERT_EQUAL(approve("otago", &ref), 200);
    fake_store.fault = FAKE_LOSE_REQUEST;
    CU_ASSERT_EQUAL(approve("auckland", &ref), 200);
    CU_ASSERT_EQUAL(stored_version(), 3);
}

static void
test_store_unavailable(void)
{
    fv_ticket_t ticket;
    proposal_ref_t ref;

    activate_first_config();
    ref = create_proposal("otago", 7);
    fake_store.fault = FAKE_UNAVAILABLE;
    begin_request(&ticket, FvApiConfig_Approve, "otago", ref.id,
                  make_vote_body(&ref));
    fake_store_run();
    CU_ASSERT_EQUAL(ticket.status, 503);
    CU_ASSERT_TRUE(ticket.retry_after_ms > 0);
    end_request(&ticket);
    CU_ASSERT_EQUAL(
        run_request(FvApiConfig_GenerateProposal, "otago", "", NULL), 503);
    CU_ASSERT_EQUAL(run_request(FvApiConfig_ListProposals, "otago", "", NULL),
                    503);
    fake_store.fault = FAKE_NO_FAULT;
    CU_ASSERT_EQUAL(approve("otago", &ref), 200);
    CU_ASSERT_EQUAL(stored_version(), 1);
}

static void
test_rejected_proposal_is_not_activated(void)
{
    fv_ticket_t first;
    fv_ticket_t second;
    proposal_ref_t ref;

    activate_first_config();
    ref = create_proposal("otago", 7);
    CU_ASSERT_EQUAL(reject("auckland", &ref), 200);
    CU_ASSERT_EQUAL(approve("otago", &ref), 409);
    CU_ASSERT_EQUAL(approve("auckland", &ref), 409);
    ref = create_proposal("waikato", 7);
    CU_ASSERT_EQUAL(approve("otago", &ref), 200);
    begin_request(&first, FvApiConfig_Reject, "waikato", ref.id,
                  make_vote_body(&ref));
    begin_request(&second, FvApiConfig_Approve, "auckland", ref.id,
                  make_vote_body(&ref));
    fake_store_run();
    CU_ASSERT_EQUAL(first.status, 200);
    CU_ASSERT_EQUAL(second.status, 409);
    CU_ASSERT_EQUAL(stored_version(), 1);
    end_request(&first);
    end_request(&second);
}

static void
test_withdrawn_approval_prevents_activation(void)
{
    fv_ticket_t first;
    fv_ticket_t second;
    proposal_ref_t ref;

    activate_first_config();
    ref = create_proposal("otago", 7);
    CU_ASSERT_EQUAL(approve("otago", &ref), 200);
    begin_request(&first, FvApiConfig_Reject, "otago", ref.id,
                  make_vote_body(&ref));
    begin_request(&second, FvApiConfig_Approve, "auckland", ref.id,
                  make_vote_body(&ref));
    fake_store_run();
    CU_ASSERT_EQUAL(first.status, 200);
    CU_ASSERT_EQUAL(second.status, 409);
    CU_ASSERT_EQUAL(stored_version(), 1);
    end_request(&first);
    end_request(&second);
}

static void
test_wrong_digest_and_old_base_are_rejected(void)
{
    proposal_ref_t ref;
    proposal_ref_t old;
    proposal_ref_t altered;

    activate_first_config();
    old = create_proposal("auckland", 9);
    ref = create_proposal("otago", 7);
    altered = ref;
    altered.digest[0] = altered.digest[0] == '0' ? '1' : '0';
    CU_ASSERT_EQUAL(approve("otago", &altered), 409);
    CU_ASSERT_EQUAL(
        run_request(FvApiConfig_Approve, "otago", ref.id, json_object()), 400);
    CU_ASSERT_EQUAL(approve("otago", &ref), 200);
    CU_ASSERT_EQUAL(approve("auckland", &ref), 200);
    CU_ASSERT_EQUAL(stored_version(), 2);
    CU_ASSERT_EQUAL(approve("otago", &old), 409);
    CU_ASSERT_EQUAL(reject("otago", &ref), 409);
    CU_ASSERT_EQUAL(run_request(FvApiConfig_ShowProposal, "otago",
                                "0000000001-ffffffff", NULL),
                    404);
}

static void
test_list_and_show_proposals(void)
{
    fv_ticket_t ticket;
    proposal_ref_t ref;

    activate_first_config();
    ref = create_proposal("otago", 7);
    begin_request(&ticket, FvApiConfig_ListProposals, "auckland", "", NULL);
    fake_store_run();
    CU_ASSERT_EQUAL(
        json_array_size(json_object_get(ticket.reply, "proposals")), 2);
    end_request(&ticket);
    CU_ASSERT_EQUAL(
        run_request(FvApiConfig_ShowProposal, "auckland", ref.id, NULL), 200);
    CU_ASSERT_EQUAL(
        run_request(FvApiConfig_DiffProposal, "auckland", ref.id, NULL), 200);
    CU_ASSERT_EQUAL(
        run_request(FvApiConfig_ShowProposal, "stranger", ref.id, NULL), 403);
    CU_ASSERT_EQUAL(run_request(FvApiConfig_PutAnswers, "otago", "",
                                json_pack("{s:i}", "weight", 1)),
                    400);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a member joins without the approval of every member",
         test_join_needs_every_approval},
        {"concurrent last votes activate a proposal twice or never",
         test_concurrent_last_votes_activate_once},
        {"two proposals on one base are both activated",
         test_conflicting_proposals_activate_once},
        {"an unconfirmed commit loses or repeats an activation",
         test_unconfirmed_commit_is_read_back},
        {"a request with the store unavailable hangs or takes effect",
         test_store_unavailable},
        {"a rejected or withdrawn proposal is activated",
         test_rejected_proposal_is_not_activated},
        {"a withdrawn approval still counts",
         test_withdrawn_approval_prevents_activation},
        {"an approval with a wrong digest or an old base counts",
         test_wrong_digest_and_old_base_are_rejected},
        {"a non-member reads a proposal, or invalid answers are saved",
         test_list_and_show_proposals},
    };

    int result;

    rcu_register_thread();
    result = Fv_RUN_SUITE("vote", cases);
    rcu_unregister_thread();
    return result;
}

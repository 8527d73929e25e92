/*
 * HTTP handlers that approve or reject a proposal. The last required approval
 * and the activation are written in one transaction, so a fully approved
 * proposal can't remain inactive.
 *
 * The transaction succeeds only if the head and the votes are still those that
 * were read. If it fails or stays unconfirmed, the handler reads them again
 * and re-evaluates the vote; a repeated or delayed transaction can't take
 * effect twice.
 */

#include "daemon.h"

#include <stdlib.h>
#include <string.h>

#define HEAD_KEY "config/head"
#define ATTEMPTS_MAX 8
#define CONFLICT_RETRY_AFTER_MS 200

static void process_vote(fv_proposal_view_t *view);

static void
reply_problem(fv_proposal_view_t *view, int32_t status, const char *detail)
{
    FvTicket_ReplyProblem(view->ticket, status, NULL, 0, "%s", detail);
    FvProposalView_Free(view);
}

static void
reply_summary(fv_proposal_view_t *view)
{
    FvTicket_ReplyJson(
        view->ticket, 200,
        FvProposal_Summary(view->proposal, view->votes, view->head));
    FvProposalView_Free(view);
}

static fv_vote_t
caller_vote(const fv_proposal_view_t *view)
{
    return FvProposal_GetVote(view->proposal, view->votes,
                              view->ticket->member);
}

/* Returns why the vote can't be accepted, or NULL if it can. */
static const char *
find_conflict(const fv_proposal_view_t *view)
{
    const char *digest = FvJson_String(view->ticket->body, "digest");
    fv_tally_t tally;

    if (strcmp(digest, FvJson_String(view->proposal, "digest")) != 0) {
        return "the digest is not that of this proposal; show it again and "
               "vote on what it contains";
    }
    if (FvProposal_WasActivated(view->proposal, view->votes, view->head)) {
        return view->approves ? NULL : "the proposal was already activated";
    }
    if (!FvProposal_BaseIsActive(view->proposal, view->head)) {
        return "the proposal's base version is no longer active; generate "
               "a proposal again";
    }
    FvProposal_CountVotes(view->proposal, view->votes, NULL, &tally);
    if (view->approves && tally.rejected > 0) {
        return "the proposal was rejected and can't be activated; generate "
               "a new one";
    }
    return NULL;
}

/* Whether the store already has what the request asks for. If no approval is
 * missing but the proposal is not active, the request still has to write the
 * activation. */
static bool
is_already_fulfilled(const fv_proposal_view_t *view)
{
    fv_tally_t tally;

    if (FvProposal_WasActivated(view->proposal, view->votes, view->head)) {
        return true;
    }
    if (!view->approves) {
        return caller_vote(view) == Fv_VOTE_REJECT;
    }
    FvProposal_CountVotes(view->proposal, view->votes, NULL, &tally);
    return caller_vote(view) == Fv_VOTE_APPROVE && tally.missing > 0;
}

static void
compare_vote(const fv_proposal_view_t *view, fv_store_txn_t *txn,
             const char *member)
{
    char key[Fv_URL_SIZE];
    char *text;

    FvProposalView_VoteKey(view, member, key);
    if (json_object_get(view->votes, member) == NULL) {
        FvStoreTxn_CompareAbsent(txn, key);
        return;
    }
    text = FvProposal_EncodeVote(member, true,
                                 FvJson_String(view->proposal, "digest"));
    FvStoreTxn_CompareValue(txn, key, text);
    free(text);
}

static void
compare_head(const fv_proposal_view_t *view, fv_store_txn_t *txn)
{
    if (view->head == NULL) {
        FvStoreTxn_CompareAbsent(txn, HEAD_KEY);
    }
    else {
        FvStoreTxn_CompareRevision(txn, HEAD_KEY, view->head_revision);
    }
}

static void
put_vote(const fv_proposal_view_t *view, fv_store_txn_t *txn)
{
    const char *member = view->ticket->member;
    char key[Fv_URL_SIZE];
    char *text = FvProposal_EncodeVote(
        member, view->approves, FvJson_String(view->proposal, "digest"));

    FvProposalView_VoteKey(view, member, key);
    FvStoreTxn_Put(txn, key, text, FvJson_Int(view->proposal, "lease", 0));
    free(text);
}

/* Requires that the other required approvals are still stored and that the
 * author, who may not be a required voter, has not rejected the proposal. */
static void
compare_all_votes(const fv_proposal_view_t *view, fv_store_txn_t *txn)
{
    const char *self = view->ticket->member;
    const char *author = FvJson_String(view->proposal, "author");
    size_t index;
    const json_t *voter;

    json_array_foreach(json_object_get(view->proposal, "voters"), index, voter)
    {
        if (strcmp(json_string_value(voter), self) != 0) {
            compare_vote(view, txn, json_string_value(voter));
        }
    }
    if (!FvProposal_IsVoter(view->proposal, author) &&
        strcmp(author, self) != 0) {
        compare_vote(view, txn, author);
    }
}

static void
put_contract(const fv_proposal_view_t *view, fv_store_txn_t *txn,
             const char *member, json_t *contract)
{
    json_t *answers = json_object_get(view->proposal, "answers");
    json_t *record = json_copy(contract);
    char key[Fv_URL_SIZE];
    char *text;

    json_object_set(record, "answers", json_object_get(answers, member));
    text = json_dumps(record, JSON_COMPACT | JSON_SORT_KEYS);
    snprintf(key, sizeof(key), "config/member/%s", member);
    FvStoreTxn_Put(txn, key, text, 0);
    free(text);
    json_decref(record);
}

static void
put_config(const fv_proposal_view_t *view, fv_store_txn_t *txn)
{
    json_t *before = json_object_get(view->proposal, "before");
    json_t *after = json_object_get(view->proposal, "after");
    json_t *head = FvProposal_NewHead(view->proposal);
    char *text = json_dumps(head, JSON_COMPACT | JSON_SORT_KEYS);
    char key[Fv_URL_SIZE];
    const char *member;
    json_t *contract;

    FvStoreTxn_Put(txn, HEAD_KEY, text, 0);
    json_object_foreach(after, member, contract)
    {
        put_contract(view, txn, member, contract);
    }
    json_object_foreach(before, member, contract)
    {
        if (json_object_get(after, member) == NULL) {
            snprintf(key, sizeof(key), "config/member/%s", member);
            FvStoreTxn_Delete(txn, key);
        }
    }
    free(text);
    json_decref(head);
}

/* Replies with the state after the transaction. */
static void
reply_committed(fv_proposal_view_t *view)
{
    const char *member = view->ticket->member;
    json_t *vote = json_pack("{s:s, s:s, s:s}", "member", member, "vote",
                             view->approves ? "approve" : "reject", "digest",
                             FvJson_String(view->proposal, "digest"));

    json_object_set_new(view->votes, member, vote);
    if (view->activates) {
        json_decref(view->head);
        view->head = FvProposal_NewHead(view->proposal);
        FvLog_Event(Fv_LOG_INFO, "proposal_activated",
                    "proposal=%s version=%lld",
                    FvJson_String(view->proposal, "id"),
                    (long long)FvJson_Int(view->head, "version", 0));
        FvConfigSync_OnProposalActivated(
            view->daemon->config_sync, view->head,
            json_object_get(view->proposal, "after"));
    }
    reply_summary(view);
}

static void
on_commit_result(void *context, const fv_store_result_t *result)
{
    fv_proposal_view_t *view = context;
    bool conflict = result->error == Fv_STORE_OK && !result->succeeded;

    if (result->error == Fv_STORE_OK && result->succeeded) {
        reply_committed(view);
        return;
    }
    if (result->error == Fv_STORE_UNCONFIRMED) {
        view->unconfirmed = true;
    }
    if ((conflict || view->unconfirmed) && ++view->attempts < ATTEMPTS_MAX) {
        FvProposalView_Load(view, process_vote);
        return;
    }
    if (conflict) {
        FvTicket_ReplyProblem(view->ticket, 503, NULL, CONFLICT_RETRY_AFTER_MS,
                              "other members vote at the same time; repeat "
                              "the request");
    }
    else {
        FvApiConfig_ReplyStoreError(view->ticket, view->unconfirmed
                                                      ? Fv_STORE_UNCONFIRMED
                                                      : result->error);
    }
    FvProposalView_Free(view);
}

/*
 * The transaction of an approval that is not the last one requires that
 * another member's vote is still missing. If the last two members approve at
 * the same time, the later transaction therefore fails, and its retry sees the
 * other vote and activates the proposal.
 */
static void
add_approval(fv_proposal_view_t *view, fv_store_txn_t *txn)
{
    char key[Fv_URL_SIZE];
    fv_tally_t tally;

    FvProposal_CountVotes(view->proposal, view->votes, view->ticket->member,
                          &tally);
    view->activates = tally.missing == 0;
    if (view->activates) {
        compare_all_votes(view, txn);
        put_config(view, txn);
    }
    else {
        FvProposalView_VoteKey(view, tally.first_missing, key);
        FvStoreTxn_CompareAbsent(txn, key);
    }
}

static void
commit_vote(fv_proposal_view_t *view)
{
    fv_store_txn_t *txn = FvStoreTxn_New();

    compare_head(view, txn);
    compare_vote(view, txn, view->ticket->member);
    put_vote(view, txn);
    view->activates = false;
    if (view->approves) {
        add_approval(view, txn);
    }
    FvStore_Commit(view->daemon->store, txn, on_commit_result, view);
}

static void
process_vote(fv_proposal_view_t *view)
{
    const char *conflict;

    if (view->proposal == NULL) {
        reply_problem(view, 404, "no such proposal");
        return;
    }
    if (!FvProposal_MayVote(view->proposal, view->ticket->member)) {
        reply_problem(view, 403,
                      "only members of the base version and the author "
                      "vote on a proposal");
        return;
    }
    conflict = find_conflict(view);
    if (conflict != NULL) {
        reply_problem(view, 409, conflict);
    }
    else if (is_already_fulfilled(view)) {
        reply_summary(view);
    }
    else {
        commit_vote(view);
    }
}

static void
start_vote(fv_daemon_t *daemon, fv_ticket_t *ticket, bool approves)
{
    fv_proposal_view_t *view;

    if (!FvProposal_IsValidId(ticket->params[0])) {
        FvTicket_ReplyProblem(ticket, 404, NULL, 0, "no such proposal");
        return;
    }
    if (FvJson_String(ticket->body, "digest") == NULL) {
        FvTicket_ReplyProblem(ticket, 400, NULL, 0,
                              "digest: the proposal's digest is needed");
        return;
    }
    view = FvProposalView_New(daemon, ticket);
    if (view == NULL) {
        FvTicket_ReplyProblem(ticket, 503, NULL, 0, "out of memory");
        return;
    }
    view->approves = approves;
    FvProposalView_Load(view, process_vote);
}

/**
 * FvApiConfig_Approve - POST /v1/proposals/ID/approve
 * @daemon: the daemon
 * @ticket: the request
 */
void
FvApiConfig_Approve(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    start_vote(daemon, ticket, true);
}

/**
 * FvApiConfig_Reject - POST /v1/proposals/ID/reject
 * @daemon: the daemon
 * @ticket: the request
 */
void
FvApiConfig_Reject(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    start_vote(daemon, ticket, false);
}

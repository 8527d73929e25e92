/*
 * Votes on proposals. The vote that completes the approvals and the
 * activation are one transaction, so there is no state in which all members
 * approved but nothing activates the proposal.
 *
 * The transaction compares the head and the votes as they were read. When it
 * fails or is in doubt, everything is read again and decided anew; a repeated
 * or delayed transaction can't take effect a second time.
 */

#include "daemon.h"

#include <stdlib.h>
#include <string.h>

#define HEAD_KEY "config/head"
#define ROUNDS_MAX 8
#define CONTENTION_RETRY_MS 200

static void decide(fv_proposal_view_t *view);

static void
refuse(fv_proposal_view_t *view, int32_t status, const char *detail)
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
own_vote(const fv_proposal_view_t *view)
{
    return FvProposal_GetVote(view->proposal, view->votes,
                              view->ticket->member);
}

/* What is to be said of a vote that can't be accepted, or NULL. */
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

/* Whether the request is already fulfilled. */
static bool
is_settled(const fv_proposal_view_t *view)
{
    fv_tally_t tally;

    if (FvProposal_WasActivated(view->proposal, view->votes, view->head)) {
        return true;
    }
    if (!view->approves) {
        return own_vote(view) == Fv_VOTE_REJECT;
    }
    FvProposal_CountVotes(view->proposal, view->votes, NULL, &tally);
    return own_vote(view) == Fv_VOTE_APPROVE && tally.missing > 0;
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

/* Every required approval, and that the author has not withdrawn. */
static void
compare_votes(const fv_proposal_view_t *view, fv_store_txn_t *txn)
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
put_configuration(const fv_proposal_view_t *view, fv_store_txn_t *txn)
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

/* Shows the state as the transaction left it. */
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
on_committed(void *context, const fv_store_result_t *result)
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
    if ((conflict || view->unconfirmed) && ++view->attempts < ROUNDS_MAX) {
        FvProposalView_Load(view, decide);
        return;
    }
    if (conflict) {
        FvTicket_ReplyProblem(view->ticket, 503, NULL, CONTENTION_RETRY_MS,
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
 * An approval that is not the last one compares that one other member's is
 * still missing: of two members that vote at the same time, the later one
 * sees the other's vote and activates.
 */
static void
commit_approval(fv_proposal_view_t *view, fv_store_txn_t *txn)
{
    char key[Fv_URL_SIZE];
    fv_tally_t tally;

    FvProposal_CountVotes(view->proposal, view->votes, view->ticket->member,
                          &tally);
    view->activates = tally.missing == 0;
    if (view->activates) {
        compare_votes(view, txn);
        put_configuration(view, txn);
    }
    else {
        FvProposalView_VoteKey(view, tally.first_missing, key);
        FvStoreTxn_CompareAbsent(txn, key);
    }
}

static void
commit(fv_proposal_view_t *view)
{
    fv_store_txn_t *txn = FvStoreTxn_New();

    compare_head(view, txn);
    compare_vote(view, txn, view->ticket->member);
    put_vote(view, txn);
    view->activates = false;
    if (view->approves) {
        commit_approval(view, txn);
    }
    FvStore_Commit(view->daemon->store, txn, on_committed, view);
}

static void
decide(fv_proposal_view_t *view)
{
    const char *conflict;

    if (view->proposal == NULL) {
        refuse(view, 404, "no such proposal");
        return;
    }
    if (!FvProposal_MayVote(view->proposal, view->ticket->member)) {
        refuse(view, 403,
               "only members of the base version and the author "
               "vote on a proposal");
        return;
    }
    conflict = find_conflict(view);
    if (conflict != NULL) {
        refuse(view, 409, conflict);
    }
    else if (is_settled(view)) {
        reply_summary(view);
    }
    else {
        commit(view);
    }
}

static void
vote(fv_daemon_t *daemon, fv_ticket_t *ticket, bool approves)
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
    FvProposalView_Load(view, decide);
}

/**
 * FvApiConfig_Approve - POST /v1/proposals/ID/approve
 * @daemon: the daemon
 * @ticket: the request
 */
void
FvApiConfig_Approve(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    vote(daemon, ticket, true);
}

/**
 * FvApiConfig_Reject - POST /v1/proposals/ID/reject
 * @daemon: the daemon
 * @ticket: the request
 */
void
FvApiConfig_Reject(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    vote(daemon, ticket, false);
}

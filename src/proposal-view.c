/*
 * Reads a proposal, its votes and the head for one request. The head is read
 * first, so a transaction that compares its revision also ensures that no
 * proposal was activated between the read of the head and that of the votes.
 */

#include "daemon.h"

#include <stdlib.h>
#include <string.h>

#define STORE_RETRY_AFTER_MS 1000
#define PROPOSALS_PREFIX "proposals/"
#define VOTES_INFIX "/votes/"

/**
 * FvApiConfig_ReplyStoreError - reply to a request after a store error
 * @ticket: the request
 * @error: error of the store client
 */
void
FvApiConfig_ReplyStoreError(fv_ticket_t *ticket, fv_store_error_t error)
{
    if (error == Fv_STORE_REJECTED) {
        FvTicket_ReplyProblem(ticket, 413, NULL, 0,
                              "the store refused the record; it is too large");
    }
    else if (error == Fv_STORE_UNCONFIRMED) {
        FvTicket_ReplyProblem(ticket, 503, NULL, STORE_RETRY_AFTER_MS,
                              "the store did not confirm the change; it may "
                              "have taken effect; repeat the request");
    }
    else {
        FvTicket_ReplyProblem(ticket, 503, NULL, STORE_RETRY_AFTER_MS,
                              "the store is not available; nothing was "
                              "changed; repeat the request");
    }
}

/**
 * FvProposalView_New - create a view of the proposal named in the path
 * @daemon: the daemon
 * @ticket: the request
 *
 * Return: the view, or NULL when memory is exhausted.
 */
fv_proposal_view_t *
FvProposalView_New(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    fv_proposal_view_t *view = calloc(1, sizeof(*view));

    if (view != NULL) {
        view->daemon = daemon;
        view->ticket = ticket;
        view->votes = json_object();
    }
    return view;
}

static void
clear_loaded(fv_proposal_view_t *view)
{
    json_decref(view->head);
    json_decref(view->proposal);
    view->head = NULL;
    view->proposal = NULL;
    view->head_revision = 0;
    json_object_clear(view->votes);
}

/**
 * FvProposalView_Free - release a view after its ticket was answered
 * @view: the view, or NULL
 */
void
FvProposalView_Free(fv_proposal_view_t *view)
{
    if (view != NULL) {
        clear_loaded(view);
        json_decref(view->votes);
        free(view);
    }
}

/**
 * FvProposalView_VoteKey - key of a member's vote
 * @view: the view; its proposal is loaded
 * @member: the member
 * @key: filled in
 */
void
FvProposalView_VoteKey(const fv_proposal_view_t *view, const char *member,
                       char key[Fv_URL_SIZE])
{
    snprintf(key, Fv_URL_SIZE, PROPOSALS_PREFIX "%s" VOTES_INFIX "%s",
             FvJson_String(view->proposal, "id"), member);
}

/* Adds a proposal, if its record is intact, or a vote. */
static void
add_record(const char *key, json_t *value, json_t *proposals, json_t *votes)
{
    char id[Fv_KEY_SIZE];
    const char *separator = strstr(key, VOTES_INFIX);
    size_t length = separator ? (size_t)(separator - key) : strlen(key);

    if (length >= sizeof(id)) {
        return;
    }
    snprintf(id, sizeof(id), "%.*s", (int)length, key);
    if (separator == NULL) {
        if (FvProposal_IsIntact(value)) {
            json_object_set(proposals, id, value);
        }
        return;
    }
    if (json_object_get(votes, id) == NULL) {
        json_object_set_new(votes, id, json_object());
    }
    json_object_set(json_object_get(votes, id),
                    separator + strlen(VOTES_INFIX), value);
}

/**
 * FvProposalView_GroupByProposal - read proposals and votes from stored pairs
 * @result: pairs below proposals/
 * @proposals: receives proposals by id
 * @votes: receives, by proposal id, objects that map members to votes
 */
void
FvProposalView_GroupByProposal(const fv_store_result_t *result,
                               json_t *proposals, json_t *votes)
{
    for (uint32_t i = 0; i < result->kv_count; i++) {
        const fv_store_kv_t *kv = &result->kvs[i];
        json_t *value = json_loadb(kv->value, kv->value_length, 0, NULL);

        if (value != NULL && strncmp(kv->key, PROPOSALS_PREFIX,
                                     strlen(PROPOSALS_PREFIX)) == 0) {
            add_record(kv->key + strlen(PROPOSALS_PREFIX), value, proposals,
                       votes);
        }
        json_decref(value);
    }
}

static void
fail_request(fv_proposal_view_t *view, fv_store_error_t error)
{
    FvApiConfig_ReplyStoreError(
        view->ticket, view->unconfirmed ? Fv_STORE_UNCONFIRMED : error);
    FvProposalView_Free(view);
}

static void
on_proposal_loaded(void *context, const fv_store_result_t *result)
{
    fv_proposal_view_t *view = context;
    const char *id = view->ticket->params[0];
    json_t *proposals;
    json_t *votes;

    if (result->error != Fv_STORE_OK) {
        fail_request(view, result->error);
        return;
    }
    proposals = json_object();
    votes = json_object();
    FvProposalView_GroupByProposal(result, proposals, votes);
    view->proposal = json_incref(json_object_get(proposals, id));
    json_object_update(view->votes, json_object_get(votes, id));
    json_decref(proposals);
    json_decref(votes);
    view->on_loaded(view);
}

static void
on_head_loaded(void *context, const fv_store_result_t *result)
{
    fv_proposal_view_t *view = context;
    json_t *by_digest;
    char key[Fv_URL_SIZE];

    if (result->error != Fv_STORE_OK) {
        fail_request(view, result->error);
        return;
    }
    by_digest = json_object();
    FvConfigHead_FromStore(result, &view->head, &view->head_revision,
                           by_digest);
    json_decref(by_digest);
    snprintf(key, sizeof(key), PROPOSALS_PREFIX "%s", view->ticket->params[0]);
    FvStore_List(view->daemon->store, key, on_proposal_loaded, view);
}

/**
 * FvProposalView_Load - read head, proposal and votes
 * @view: the view; may be loaded again. If the store fails, the ticket is
 *        answered and the view freed.
 * @on_loaded: called with the loaded view
 */
void
FvProposalView_Load(fv_proposal_view_t *view,
                    fv_proposal_view_done_t on_loaded)
{
    clear_loaded(view);
    view->on_loaded = on_loaded;
    FvStore_Get(view->daemon->store, "config/head", on_head_loaded, view);
}

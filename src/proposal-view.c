/*
 * Reads a proposal, its votes and the head for one request. The head is read
 * first: a transaction that compares its revision then also covers the votes
 * read after it.
 */

#include "daemon.h"

#include <stdlib.h>
#include <string.h>

#define STORE_RETRY_MS 1000
#define PREFIX "proposals/"
#define VOTES "/votes/"

/**
 * FvApiConfig_ReplyStoreError - answer a request the store failed
 * @ticket: the request
 * @error: what the store client reported
 */
void
FvApiConfig_ReplyStoreError(fv_ticket_t *ticket, fv_store_error_t error)
{
    if (error == Fv_STORE_REJECTED) {
        FvTicket_ReplyProblem(ticket, 413, NULL, 0,
                              "the store refused the record; it is too large");
    }
    else if (error == Fv_STORE_UNCONFIRMED) {
        FvTicket_ReplyProblem(ticket, 503, NULL, STORE_RETRY_MS,
                              "the store did not confirm the change; it may "
                              "have taken effect; repeat the request");
    }
    else {
        FvTicket_ReplyProblem(ticket, 503, NULL, STORE_RETRY_MS,
                              "the store is not available; nothing was "
                              "changed; repeat the request");
    }
}

/**
 * FvProposalView_New - begin a request about the proposal in the path
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
clear(fv_proposal_view_t *view)
{
    json_decref(view->head);
    json_decref(view->proposal);
    view->head = NULL;
    view->proposal = NULL;
    view->head_revision = 0;
    json_object_clear(view->votes);
}

/**
 * FvProposalView_Free - release a view; its ticket has its reply
 * @view: the view, or NULL
 */
void
FvProposalView_Free(fv_proposal_view_t *view)
{
    if (view != NULL) {
        clear(view);
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
    snprintf(key, Fv_URL_SIZE, PREFIX "%s" VOTES "%s",
             FvJson_String(view->proposal, "id"), member);
}

/* Files a pair as a proposal, when its record is intact, or as a vote. */
static void
file_pair(const char *key, json_t *value, json_t *proposals, json_t *votes)
{
    char id[Fv_KEY_SIZE];
    const char *mark = strstr(key, VOTES);
    size_t length = mark ? (size_t)(mark - key) : strlen(key);

    if (length >= sizeof(id)) {
        return;
    }
    snprintf(id, sizeof(id), "%.*s", (int)length, key);
    if (mark == NULL) {
        if (FvProposal_IsIntact(value)) {
            json_object_set(proposals, id, value);
        }
        return;
    }
    if (json_object_get(votes, id) == NULL) {
        json_object_set_new(votes, id, json_object());
    }
    json_object_set(json_object_get(votes, id), mark + strlen(VOTES), value);
}

/**
 * FvProposalView_GroupByProposal - sort keys below proposals/
 * @result: pairs as listed
 * @proposals: receives records by id
 * @votes: receives objects of votes by id
 */
void
FvProposalView_GroupByProposal(const fv_store_result_t *result,
                               json_t *proposals, json_t *votes)
{
    for (uint32_t i = 0; i < result->kv_count; i++) {
        const fv_store_kv_t *kv = &result->kvs[i];
        json_t *value = json_loadb(kv->value, kv->value_length, 0, NULL);

        if (value != NULL && strncmp(kv->key, PREFIX, strlen(PREFIX)) == 0) {
            file_pair(kv->key + strlen(PREFIX), value, proposals, votes);
        }
        json_decref(value);
    }
}

static void
fail(fv_proposal_view_t *view, fv_store_error_t error)
{
    FvApiConfig_ReplyStoreError(
        view->ticket, view->unconfirmed ? Fv_STORE_UNCONFIRMED : error);
    FvProposalView_Free(view);
}

static void
on_proposal(void *context, const fv_store_result_t *result)
{
    fv_proposal_view_t *view = context;
    const char *id = view->ticket->params[0];
    json_t *proposals;
    json_t *votes;

    if (result->error != Fv_STORE_OK) {
        fail(view, result->error);
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
on_head(void *context, const fv_store_result_t *result)
{
    fv_proposal_view_t *view = context;
    json_t *by_digest;
    char key[Fv_URL_SIZE];

    if (result->error != Fv_STORE_OK) {
        fail(view, result->error);
        return;
    }
    by_digest = json_object();
    FvConfigHead_FromStore(result, &view->head, &view->head_revision,
                           by_digest);
    json_decref(by_digest);
    snprintf(key, sizeof(key), PREFIX "%s", view->ticket->params[0]);
    FvStore_List(view->daemon->store, key, on_proposal, view);
}

/**
 * FvProposalView_Load - read head, proposal and votes, again if need be
 * @view: the view; freed, with a reply given, when the store fails
 * @on_loaded: called when all is read
 */
void
FvProposalView_Load(fv_proposal_view_t *view,
                    fv_proposal_view_done_t on_loaded)
{
    clear(view);
    view->on_loaded = on_loaded;
    FvStore_Get(view->daemon->store, "config/head", on_head, view);
}

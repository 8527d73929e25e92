/*
 * Lists, shows and compares proposals.
 */

#include "daemon.h"

#include <stdlib.h>
#include <string.h>

/* One request for the list; proposals are listed by base version. */
typedef struct listing {
    fv_daemon_t *daemon;
    fv_ticket_t *ticket;
    json_t *head;
    json_t *proposals;
    json_t *votes;
    uint64_t version; /* base version that is read next */
    bool last;        /* no further base version is read */
} listing_t;

static void list_next(listing_t *listing);

static void
free_listing(listing_t *listing)
{
    json_decref(listing->head);
    json_decref(listing->proposals);
    json_decref(listing->votes);
    free(listing);
}

static void
reply_listing(listing_t *listing)
{
    json_t *list = json_array();
    const char *id;
    json_t *proposal;

    json_object_foreach(listing->proposals, id, proposal)
    {
        if (FvProposal_MayRead(proposal, listing->ticket->member)) {
            json_array_append_new(
                list, FvProposal_Summary(proposal,
                                         json_object_get(listing->votes, id),
                                         listing->head));
        }
    }
    FvTicket_ReplyJson(listing->ticket, 200,
                       json_pack("{s:o}", "proposals", list));
    free_listing(listing);
}

static void
on_listed(void *context, const fv_store_result_t *result)
{
    listing_t *listing = context;

    if (result->error != Fv_STORE_OK) {
        FvApiConfig_ReplyStoreError(listing->ticket, result->error);
        free_listing(listing);
        return;
    }
    FvProposalView_GroupByProposal(result, listing->proposals, listing->votes);
    if (listing->last) {
        reply_listing(listing);
        return;
    }
    list_next(listing);
}

static void
list_next(listing_t *listing)
{
    char prefix[Fv_KEY_SIZE];

    snprintf(prefix, sizeof(prefix), "proposals/%010llu-",
             (unsigned long long)listing->version);
    listing->last =
        listing->version == 0 ||
        (int64_t)listing->version < FvJson_Int(listing->head, "version", 0);
    if (!listing->last) {
        listing->version--;
    }
    FvStore_List(listing->daemon->store, prefix, on_listed, listing);
}

static void
on_list_head(void *context, const fv_store_result_t *result)
{
    listing_t *listing = context;
    json_t *by_digest;

    if (result->error != Fv_STORE_OK) {
        FvApiConfig_ReplyStoreError(listing->ticket, result->error);
        free_listing(listing);
        return;
    }
    by_digest = json_object();
    FvConfigHead_FromStore(result, &listing->head, NULL, by_digest);
    json_decref(by_digest);
    listing->version = (uint64_t)FvJson_Int(listing->head, "version", 0);
    list_next(listing);
}

/**
 * FvApiConfig_ListProposals - GET /v1/proposals
 * @daemon: the daemon
 * @ticket: the request
 *
 * Lists the proposals on the active version, which may still be activated,
 * and those on the version before, one of which is active: at thousands of
 * changes a day a list of all that are kept would be too long to read.
 */
void
FvApiConfig_ListProposals(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    listing_t *listing = calloc(1, sizeof(*listing));

    if (listing == NULL) {
        FvTicket_ReplyProblem(ticket, 503, NULL, 0, "out of memory");
        return;
    }
    listing->daemon = daemon;
    listing->ticket = ticket;
    listing->proposals = json_object();
    listing->votes = json_object();
    FvStore_Get(daemon->store, "config/head", on_list_head, listing);
}

/* Replies and returns false when the caller may not read the proposal. */
static bool
may_read(fv_proposal_view_t *view)
{
    if (view->proposal == NULL) {
        FvTicket_ReplyProblem(view->ticket, 404, NULL, 0, "no such proposal");
        return false;
    }
    if (!FvProposal_MayRead(view->proposal, view->ticket->member)) {
        FvTicket_ReplyProblem(view->ticket, 403, NULL, 0,
                              "only members that the proposal covers may "
                              "read it");
        return false;
    }
    return true;
}

static void
reply_proposal(fv_proposal_view_t *view)
{
    json_t *reply;

    if (may_read(view)) {
        reply = FvProposal_Summary(view->proposal, view->votes, view->head);
        json_object_set(reply, "proposal", view->proposal);
        FvTicket_ReplyJson(view->ticket, 200, reply);
    }
    FvProposalView_Free(view);
}

static void
reply_diff(fv_proposal_view_t *view)
{
    if (may_read(view)) {
        FvTicket_ReplyJson(view->ticket, 200, FvProposal_Diff(view->proposal));
    }
    FvProposalView_Free(view);
}

static void
read_proposal(fv_daemon_t *daemon, fv_ticket_t *ticket,
              fv_proposal_view_done_t on_loaded)
{
    fv_proposal_view_t *view;

    if (!FvProposal_IsValidId(ticket->params[0])) {
        FvTicket_ReplyProblem(ticket, 404, NULL, 0, "no such proposal");
        return;
    }
    view = FvProposalView_New(daemon, ticket);
    if (view == NULL) {
        FvTicket_ReplyProblem(ticket, 503, NULL, 0, "out of memory");
        return;
    }
    FvProposalView_Load(view, on_loaded);
}

/**
 * FvApiConfig_ShowProposal - GET /v1/proposals/ID
 * @daemon: the daemon
 * @ticket: the request
 */
void
FvApiConfig_ShowProposal(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    read_proposal(daemon, ticket, reply_proposal);
}

/**
 * FvApiConfig_DiffProposal - GET /v1/proposals/ID/diff
 * @daemon: the daemon
 * @ticket: the request
 */
void
FvApiConfig_DiffProposal(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    read_proposal(daemon, ticket, reply_diff);
}

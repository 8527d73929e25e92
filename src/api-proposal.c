/*
 * HTTP handlers that list proposals and return a proposal or its changes.
 */

#include "daemon.h"

#include <stdlib.h>
#include <string.h>

/* A pending GET /v1/proposals. Keys of proposals start with the base version,
 * so one store call lists the proposals of one base version. */
typedef struct list_request {
    fv_daemon_t *daemon;
    fv_ticket_t *ticket;
    json_t *head;
    json_t *proposals;
    json_t *votes;
    uint64_t next_base_version;
    bool is_last; /* no base version is left after this one */
} list_request_t;

static void list_next_base_version(list_request_t *list_request);

static void
free_list_request(list_request_t *list_request)
{
    json_decref(list_request->head);
    json_decref(list_request->proposals);
    json_decref(list_request->votes);
    free(list_request);
}

static void
reply_list(list_request_t *list_request)
{
    json_t *list = json_array();
    const char *id;
    json_t *proposal;

    json_object_foreach(list_request->proposals, id, proposal)
    {
        if (FvProposal_MayRead(proposal, list_request->ticket->member)) {
            json_array_append_new(
                list, FvProposal_Summary(
                          proposal, json_object_get(list_request->votes, id),
                          list_request->head));
        }
    }
    FvTicket_ReplyJson(list_request->ticket, 200,
                       json_pack("{s:o}", "proposals", list));
    free_list_request(list_request);
}

static void
on_proposals_listed(void *context, const fv_store_result_t *result)
{
    list_request_t *list_request = context;

    if (result->error != Fv_STORE_OK) {
        FvApiConfig_ReplyStoreError(list_request->ticket, result->error);
        free_list_request(list_request);
        return;
    }
    FvProposalView_GroupByProposal(result, list_request->proposals,
                                   list_request->votes);
    if (list_request->is_last) {
        reply_list(list_request);
        return;
    }
    list_next_base_version(list_request);
}

static void
list_next_base_version(list_request_t *list_request)
{
    char prefix[Fv_KEY_SIZE];

    snprintf(prefix, sizeof(prefix), "proposals/%010llu-",
             (unsigned long long)list_request->next_base_version);
    list_request->is_last = list_request->next_base_version == 0 ||
                            (int64_t)list_request->next_base_version <
                                FvJson_Int(list_request->head, "version", 0);
    if (!list_request->is_last) {
        list_request->next_base_version--;
    }
    FvStore_List(list_request->daemon->store, prefix, on_proposals_listed,
                 list_request);
}

static void
on_head_loaded(void *context, const fv_store_result_t *result)
{
    list_request_t *list_request = context;
    json_t *by_digest;

    if (result->error != Fv_STORE_OK) {
        FvApiConfig_ReplyStoreError(list_request->ticket, result->error);
        free_list_request(list_request);
        return;
    }
    by_digest = json_object();
    FvConfigHead_FromStore(result, &list_request->head, NULL, by_digest);
    json_decref(by_digest);
    list_request->next_base_version =
        (uint64_t)FvJson_Int(list_request->head, "version", 0);
    list_next_base_version(list_request);
}

/**
 * FvApiConfig_ListProposals - GET /v1/proposals
 * @daemon: the daemon
 * @ticket: the request
 *
 * Lists the proposals based on the active version, which can still be
 * activated, and those based on the version before it, one of which is active.
 * With thousands of changes a day, a list of all stored proposals would be too
 * long to read.
 */
void
FvApiConfig_ListProposals(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    list_request_t *list_request = calloc(1, sizeof(*list_request));

    if (list_request == NULL) {
        FvTicket_ReplyProblem(ticket, 503, NULL, 0, "out of memory");
        return;
    }
    list_request->daemon = daemon;
    list_request->ticket = ticket;
    list_request->proposals = json_object();
    list_request->votes = json_object();
    FvStore_Get(daemon->store, "config/head", on_head_loaded, list_request);
}

/* Replies and returns false when the caller may not read the proposal. */
static bool
check_may_read(fv_proposal_view_t *view)
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

    if (check_may_read(view)) {
        reply = FvProposal_Summary(view->proposal, view->votes, view->head);
        json_object_set(reply, "proposal", view->proposal);
        FvTicket_ReplyJson(view->ticket, 200, reply);
    }
    FvProposalView_Free(view);
}

static void
reply_diff(fv_proposal_view_t *view)
{
    if (check_may_read(view)) {
        FvTicket_ReplyJson(view->ticket, 200, FvProposal_Diff(view->proposal));
    }
    FvProposalView_Free(view);
}

static void
load_proposal(fv_daemon_t *daemon, fv_ticket_t *ticket,
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
    load_proposal(daemon, ticket, reply_proposal);
}

/**
 * FvApiConfig_DiffProposal - GET /v1/proposals/ID/diff
 * @daemon: the daemon
 * @ticket: the request
 */
void
FvApiConfig_DiffProposal(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    load_proposal(daemon, ticket, reply_diff);
}

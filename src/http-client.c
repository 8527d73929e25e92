/*
 * HTTP client on its own thread, using libcurl's multi interface and a
 * connection pool. The scheduler thread sends the requests and runs their
 * callbacks.
 */

#include "fireflyvalve.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Limit of outstanding requests. The command ring has room for all of them, so
 * the scheduler thread never blocks on it. */
#define Fv_HTTP_OUTSTANDING_MAX 8192
#define Fv_HTTP_CONNECT_TIMEOUT_MS 1000
#define Fv_HTTP_POOLED_CONNECTIONS_MAX 4096
#define Fv_HTTP_IDLE_HANDLES_MAX 256
#define Fv_HTTP_POLL_MS 1000
#define Fv_HTTP_DEFAULT_RESPONSE_BYTES (4 * 1024 * 1024)

typedef struct fv_transfer {
    fv_event_t event; /* posted when the transfer is complete */
    fv_http_client_t *client;
    uint64_t id;
    fv_http_request_t request;
    fv_http_response_t response;
    fv_timer_t reject_timer;
    fv_buffer_t body;
    CURL *easy;
    struct curl_slist *headers;
    bool sent;
    bool expired;
    bool too_large;
    bool cancelled;           /* scheduler thread only */
    struct fv_transfer *next; /* list of outstanding transfers */
    struct fv_transfer *previous;
    struct fv_transfer *active_next; /* list of started transfers */
    struct fv_transfer *active_previous;
} fv_transfer_t;

typedef struct fv_stream_data {
    fv_event_t event;
    fv_transfer_t *transfer;
    fv_buffer_t data;
} fv_stream_data_t;

/* Command to the client thread: starts or aborts a transfer. */
typedef struct fv_client_command {
    fv_transfer_t *transfer;
    bool abort;
} fv_client_command_t;

struct fv_http_client {
    fv_loop_t *loop;
    CURLM *multi;
    fv_ring_t *commands;
    pthread_t thread;
    bool thread_started;
    atomic_bool stopped;
    fv_transfer_t *outstanding; /* scheduler thread only */
    fv_transfer_t *active;      /* HTTP client thread only */
    uint32_t outstanding_count;
    uint64_t last_id;
    CURL *idle_handles[Fv_HTTP_IDLE_HANDLES_MAX];
    uint32_t idle_handle_count;
};

static void
run_stream_data(fv_event_t *event)
{
    fv_stream_data_t *chunk = (fv_stream_data_t *)event;
    fv_transfer_t *transfer = chunk->transfer;

    if (!transfer->cancelled) {
        transfer->request.data(transfer->request.context, chunk->data.data,
                               chunk->data.length);
    }
}

static void
free_stream_data(fv_event_t *event)
{
    fv_stream_data_t *chunk = (fv_stream_data_t *)event;

    FvBuffer_Clear(&chunk->data);
    free(chunk);
}

static const fv_event_type_t stream_data_type = {
    .name = "http_data",
    .run = run_stream_data,
    .free = free_stream_data,
};

static size_t
forward_stream(fv_transfer_t *transfer, const char *data, size_t length)
{
    fv_stream_data_t *chunk = calloc(1, sizeof(*chunk));

    if (chunk == NULL) {
        return 0;
    }
    if (!FvBuffer_Append(&chunk->data, data, length)) {
        free(chunk);
        return 0;
    }
    chunk->event.type = &stream_data_type;
    chunk->transfer = transfer;
    return FvLoop_Post(transfer->client->loop, &chunk->event) ? length : 0;
}

static size_t
receive_body(char *data, size_t size, size_t count, void *context)
{
    fv_transfer_t *transfer = context;
    size_t length = size * count;

    if (transfer->request.data != NULL) {
        return forward_stream(transfer, data, length);
    }
    if (transfer->body.length + length >
        transfer->request.response_max_bytes) {
        transfer->too_large = true;
        return 0;
    }
    return FvBuffer_Append(&transfer->body, data, length) ? length : 0;
}

/* Copies the value of a header line, without white space, if the line has the
 * given name. The name includes the colon. */
static bool
copy_header_value(const char *line, size_t length, const char *name,
                  char *value, size_t size)
{
    size_t name_length = strlen(name);
    size_t value_length = 0;

    if (length <= name_length || strncasecmp(line, name, name_length) != 0) {
        return false;
    }
    for (size_t i = name_length; i < length; i++) {
        bool space = line[i] == ' ' || line[i] == '\r' || line[i] == '\n';

        if (!space && value_length + 1 < size) {
            value[value_length++] = line[i];
        }
    }
    value[value_length] = '\0';
    return true;
}

static size_t
receive_header(char *data, size_t size, size_t count, void *context)
{
    fv_transfer_t *transfer = context;
    fv_http_response_t *response = &transfer->response;
    size_t length = size * count;
    char value[32];

    if (length < 5 || strncasecmp(data, "Task-", 5) != 0) {
        return length;
    }
    if (copy_header_value(data, length, "Task-Ran-Ms:", value,
                          sizeof(value))) {
        response->task_ran_ms = strtoll(value, NULL, 10);
    }
    else if (copy_header_value(data, length, "Task-Cpu-Millis:", value,
                               sizeof(value))) {
        response->task_cpu_millis = strtoll(value, NULL, 10);
    }
    else if (copy_header_value(data, length, "Task-Memory-Bytes:", value,
                               sizeof(value))) {
        response->task_memory_bytes = strtoll(value, NULL, 10);
    }
    else {
        copy_header_value(data, length, "Task-State:", response->task_state,
                          sizeof(response->task_state));
    }
    return length;
}

/*
 * Called by libcurl after it has connected and before it sends anything: the
 * last point at which the expiry of a lease or reservation can be checked.
 * libcurl retries a request on its own if the peer has closed a pooled
 * connection; the retry of a send-once request is aborted here.
 */
static int
check_before_send(void *context, char *remote_ip, char *local_ip,
                  int remote_port, int local_port)
{
    fv_transfer_t *transfer = context;
    const fv_http_request_t *request = &transfer->request;

    (void)remote_ip;
    (void)local_ip;
    (void)remote_port;
    (void)local_port;
    if (transfer->sent && request->send_once) {
        return CURL_PREREQFUNC_ABORT;
    }
    if (request->not_after_ns != 0 &&
        FvClock_NowNs() >= request->not_after_ns) {
        transfer->expired = true;
        return CURL_PREREQFUNC_ABORT;
    }
    transfer->sent = true;
    return CURL_PREREQFUNC_OK;
}

static void
run_complete(fv_event_t *event)
{
    fv_transfer_t *transfer = (fv_transfer_t *)event;
    fv_http_client_t *client = transfer->client;

    if (transfer->previous != NULL) {
        transfer->previous->next = transfer->next;
    }
    else {
        client->outstanding = transfer->next;
    }
    if (transfer->next != NULL) {
        transfer->next->previous = transfer->previous;
    }
    client->outstanding_count--;
    if (!transfer->cancelled) {
        transfer->request.done(transfer->request.context, &transfer->response);
    }
}

static void
free_transfer(fv_event_t *event)
{
    fv_transfer_t *transfer = (fv_transfer_t *)event;

    FvBuffer_Clear(&transfer->body);
    free(transfer->request.body);
    free(transfer);
}

static const fv_event_type_t complete_type = {
    .name = "http_complete",
    .run = run_complete,
    .free = free_transfer,
};

static void
set_options(fv_transfer_t *transfer)
{
    const fv_http_request_t *request = &transfer->request;
    CURL *easy = transfer->easy;

    curl_easy_reset(easy);
    curl_easy_setopt(easy, CURLOPT_URL, request->url);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    /* Peers are IP addresses in the cell's network: ignore proxy variables. */
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)Fv_HTTP_CONNECT_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, receive_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, receive_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, check_before_send);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
    if (request->body != NULL) {
        transfer->headers =
            curl_slist_append(NULL, "Content-Type: application/json");
        transfer->headers = curl_slist_append(transfer->headers, "Expect:");
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request->body);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)request->body_length);
    }
    if (request->fresh_connection) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    }
}

static void
count_bytes(const fv_transfer_t *transfer)
{
    curl_off_t down = 0;
    long header = 0;
    long sent = 0;

    curl_easy_getinfo(transfer->easy, CURLINFO_REQUEST_SIZE, &sent);
    curl_easy_getinfo(transfer->easy, CURLINFO_HEADER_SIZE, &header);
    curl_easy_getinfo(transfer->easy, CURLINFO_SIZE_DOWNLOAD_T, &down);
    if (transfer->request.upstream) {
        FvMetrics_Add(Fv_COUNTER_UPSTREAM_BYTES_SENT, (uint64_t)sent);
        FvMetrics_Add(Fv_COUNTER_UPSTREAM_BYTES_RECEIVED,
                      (uint64_t)(header + down));
    }
}

static fv_http_error_t
classify(const fv_transfer_t *transfer, CURLcode code)
{
    if (code == CURLE_OK) {
        return Fv_HTTP_OK;
    }
    if (transfer->too_large) {
        return Fv_HTTP_TOO_LARGE;
    }
    if (transfer->sent) {
        return Fv_HTTP_UNCONFIRMED;
    }
    return transfer->expired ? Fv_HTTP_EXPIRED : Fv_HTTP_NOT_SENT;
}

static void
recycle_handle(fv_http_client_t *client, CURL *easy)
{
    if (client->idle_handle_count < Fv_HTTP_IDLE_HANDLES_MAX) {
        client->idle_handles[client->idle_handle_count++] = easy;
    }
    else {
        curl_easy_cleanup(easy);
    }
}

static void
add_active(fv_http_client_t *client, fv_transfer_t *transfer)
{
    transfer->active_next = client->active;
    if (transfer->active_next != NULL) {
        transfer->active_next->active_previous = transfer;
    }
    client->active = transfer;
}

static void
remove_active(fv_http_client_t *client, fv_transfer_t *transfer)
{
    if (transfer->active_previous != NULL) {
        transfer->active_previous->active_next = transfer->active_next;
    }
    else {
        client->active = transfer->active_next;
    }
    if (transfer->active_next != NULL) {
        transfer->active_next->active_previous = transfer->active_previous;
    }
}

static void
finish_transfer(fv_transfer_t *transfer, CURLcode code)
{
    fv_http_client_t *client = transfer->client;
    fv_http_response_t *response = &transfer->response;
    long status = 0;

    remove_active(client, transfer);
    if (transfer->easy != NULL) {
        curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
        count_bytes(transfer);
        curl_multi_remove_handle(client->multi, transfer->easy);
        recycle_handle(client, transfer->easy);
        transfer->easy = NULL;
    }
    curl_slist_free_all(transfer->headers);
    transfer->headers = NULL;
    response->error = classify(transfer, code);
    response->status = (int32_t)status;
    response->body = transfer->body.data;
    response->body_length = transfer->body.length;
    FvLoop_Post(client->loop, &transfer->event);
}

static void
start_transfer(fv_http_client_t *client, fv_transfer_t *transfer)
{
    add_active(client, transfer);
    transfer->easy = client->idle_handle_count > 0
                         ? client->idle_handles[--client->idle_handle_count]
                         : curl_easy_init();
    if (transfer->easy == NULL) {
        finish_transfer(transfer, CURLE_OUT_OF_MEMORY);
        return;
    }
    set_options(transfer);
    if (curl_multi_add_handle(client->multi, transfer->easy) != CURLM_OK) {
        finish_transfer(transfer, CURLE_FAILED_INIT);
    }
}

static void
run_commands(fv_http_client_t *client)
{
    fv_client_command_t *command;

    while ((command = FvRing_Pop(client->commands, 0)) != NULL) {
        if (!command->abort) {
            start_transfer(client, command->transfer);
        }
        else if (command->transfer->easy != NULL) {
            finish_transfer(command->transfer, CURLE_ABORTED_BY_CALLBACK);
        }
        free(command);
    }
}

static void
collect_finished(fv_http_client_t *client)
{
    CURLMsg *message;
    int left;

    while ((message = curl_multi_info_read(client->multi, &left)) != NULL) {
        fv_transfer_t *transfer = NULL;

        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        finish_transfer(transfer, message->data.result);
    }
}

static void *
run_thread(void *context)
{
    fv_http_client_t *client = context;

    while (!atomic_load(&client->stopped)) {
        int running = 0;

        run_commands(client);
        curl_multi_perform(client->multi, &running);
        collect_finished(client);
        curl_multi_poll(client->multi, NULL, 0, Fv_HTTP_POLL_MS, NULL);
    }
    return NULL;
}

/**
 * FvHttpClient_New - create a client and start its thread
 * @loop: the loop that runs the callbacks
 *
 * Return: the client, or NULL when the thread can't be started or memory is
 * exhausted.
 */
fv_http_client_t *
FvHttpClient_New(fv_loop_t *loop)
{
    fv_http_client_t *client = calloc(1, sizeof(*client));

    if (client == NULL) {
        return NULL;
    }
    client->loop = loop;
    client->multi = curl_multi_init();
    /* A transfer has at most one start and one abort command. */
    client->commands = FvRing_New(2 * Fv_HTTP_OUTSTANDING_MAX);
    if (client->multi == NULL || client->commands == NULL) {
        goto fail;
    }
    curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
                      (long)Fv_HTTP_POOLED_CONNECTIONS_MAX);
    if (pthread_create(&client->thread, NULL, run_thread, client) != 0) {
        goto fail;
    }
    client->thread_started = true;
    return client;
fail:
    FvHttpClient_Free(client);
    return NULL;
}

static void
free_unfinished(fv_http_client_t *client)
{
    fv_client_command_t *command;

    while ((command = FvRing_Pop(client->commands, 0)) != NULL) {
        if (!command->abort) {
            free_transfer(&command->transfer->event);
        }
        free(command);
    }
    while (client->active != NULL) {
        fv_transfer_t *transfer = client->active;

        client->active = transfer->active_next;
        if (transfer->easy != NULL) {
            curl_multi_remove_handle(client->multi, transfer->easy);
            curl_easy_cleanup(transfer->easy);
        }
        curl_slist_free_all(transfer->headers);
        free_transfer(&transfer->event);
    }
}

/**
 * FvHttpClient_Free - stop the thread and free unfinished requests
 * @client: the client, or NULL
 *
 * The loop must have stopped. Callbacks of unfinished requests are not called.
 */
void
FvHttpClient_Free(fv_http_client_t *client)
{
    if (client == NULL) {
        return;
    }
    if (client->thread_started) {
        atomic_store(&client->stopped, true);
        curl_multi_wakeup(client->multi);
        pthread_join(client->thread, NULL);
    }
    if (client->commands != NULL) {
        free_unfinished(client);
    }
    while (client->idle_handle_count > 0) {
        curl_easy_cleanup(client->idle_handles[--client->idle_handle_count]);
    }
    if (client->multi != NULL) {
        curl_multi_cleanup(client->multi);
    }
    FvRing_Free(client->commands);
    free(client);
}

static void
push_command(fv_http_client_t *client, fv_transfer_t *transfer, bool abort)
{
    fv_client_command_t *command = calloc(1, sizeof(*command));

    if (command == NULL) {
        return;
    }
    command->transfer = transfer;
    command->abort = abort;
    if (!FvRing_TryPush(client->commands, command)) {
        free(command);
        return;
    }
    curl_multi_wakeup(client->multi);
}

/* Completes a request rejected because too many are outstanding. */
static void
complete_rejected(void *owner)
{
    fv_transfer_t *transfer = owner;

    transfer->response.error = Fv_HTTP_NOT_SENT;
    run_complete(&transfer->event);
    free_transfer(&transfer->event);
}

static void
link_transfer(fv_http_client_t *client, fv_transfer_t *transfer)
{
    transfer->next = client->outstanding;
    if (transfer->next != NULL) {
        transfer->next->previous = transfer;
    }
    client->outstanding = transfer;
    client->outstanding_count++;
}

/**
 * FvHttpClient_Send - send a request
 * @client: the client
 * @request: copied; the client takes ownership of its body
 *
 * The done callback is called exactly once on the scheduler thread, after this
 * function has returned, unless the request is cancelled.
 *
 * Return: an id for FvHttpClient_Cancel.
 */
uint64_t
FvHttpClient_Send(fv_http_client_t *client, fv_http_request_t *request)
{
    fv_transfer_t *transfer = calloc(1, sizeof(*transfer));

    if (transfer == NULL) {
        abort();
    }
    transfer->event.type = &complete_type;
    transfer->client = client;
    transfer->id = ++client->last_id;
    transfer->request = *request;
    request->body = NULL;
    if (transfer->request.response_max_bytes == 0) {
        transfer->request.response_max_bytes = Fv_HTTP_DEFAULT_RESPONSE_BYTES;
    }
    link_transfer(client, transfer);
    if (client->outstanding_count > Fv_HTTP_OUTSTANDING_MAX) {
        transfer->reject_timer.fire = complete_rejected;
        transfer->reject_timer.owner = transfer;
        FvLoop_SetTimer(client->loop, &transfer->reject_timer,
                        FvClock_NowMs());
        return transfer->id;
    }
    push_command(client, transfer, false);
    return transfer->id;
}

/**
 * FvHttpClient_Cancel - cancel a request
 * @client: the client
 * @id: as returned by FvHttpClient_Send
 *
 * None of the request's callbacks is called after this.
 */
void
FvHttpClient_Cancel(fv_http_client_t *client, uint64_t id)
{
    for (fv_transfer_t *transfer = client->outstanding; transfer != NULL;
         transfer = transfer->next) {
        if (transfer->id == id) {
            transfer->cancelled = true;
            push_command(client, transfer, true);
            return;
        }
    }
}

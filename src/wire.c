/*
 * Encoding of messages between entry hosts. A frame is a 4-byte big-endian
 * length and a msgpack array [type, request id, fields...].
 */

#include "daemon.h"
#include "msgpack-fields.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#define Fv_WIRE_HEADER_FIELDS 2

typedef struct fv_message_codec {
    uint32_t fields;
    void (*pack)(msgpack_packer *packer, const fv_message_t *message);
    void (*unpack)(fv_field_reader_t *reader, fv_message_t *message);
} fv_message_codec_t;

static const char *const refusal_names[] = {
    [Fv_REFUSAL_NONE] = "none",
    [Fv_REFUSAL_NO_CAPACITY] = "no_capacity",
    [Fv_REFUSAL_NOT_HOLDER] = "not_holder",
    [Fv_REFUSAL_EXPIRED] = "expired",
    [Fv_REFUSAL_NEVER_FITS] = "never_fits",
    [Fv_REFUSAL_STOPPED] = "stopped",
    [Fv_REFUSAL_DRAINING] = "draining",
    [Fv_REFUSAL_UNCONFIRMED] = "in_doubt",
};

/**
 * FvRefusal_Name - name of a refusal in logs and documents
 * @refusal: the refusal
 *
 * Return: a static string.
 */
const char *
FvRefusal_Name(fv_refusal_t refusal)
{
    return refusal_names[refusal];
}

static void
pack_resources(msgpack_packer *packer, const fv_resources_t *resources)
{
    msgpack_pack_array(packer, 4);
    msgpack_pack_int64(packer, resources->cpu_millis);
    msgpack_pack_int64(packer, resources->memory_bytes);
    msgpack_pack_int32(packer, resources->accelerators);
    msgpack_pack_int32(packer, resources->slots);
}

static void
unpack_resources(fv_field_reader_t *reader, fv_resources_t *resources)
{
    fv_field_reader_t fields = FvFields_Array(reader);

    resources->cpu_millis = FvFields_Int(&fields, INT64_MIN, INT64_MAX);
    resources->memory_bytes = FvFields_Int(&fields, INT64_MIN, INT64_MAX);
    resources->accelerators =
        (int32_t)FvFields_Int(&fields, INT32_MIN, INT32_MAX);
    resources->slots = (int32_t)FvFields_Int(&fields, INT32_MIN, INT32_MAX);
    reader->failed |= fields.failed;
}

static void
pack_hello(msgpack_packer *packer, const fv_message_t *message)
{
    const fv_hello_t *hello = &message->body.hello;

    FvPack_Text(packer, hello->cluster);
    FvPack_Text(packer, hello->host);
    FvPack_Text(packer, hello->incarnation);
    FvPack_Text(packer, hello->region);
    FvPack_Text(packer, hello->data_center);
    FvPack_Text(packer, hello->nonce);
    FvPack_Text(packer, hello->mac);
}

static void
unpack_hello(fv_field_reader_t *reader, fv_message_t *message)
{
    fv_hello_t *hello = &message->body.hello;

    FvFields_Text(reader, hello->cluster, sizeof(hello->cluster));
    FvFields_Text(reader, hello->host, sizeof(hello->host));
    FvFields_Text(reader, hello->incarnation, sizeof(hello->incarnation));
    FvFields_Text(reader, hello->region, sizeof(hello->region));
    FvFields_Text(reader, hello->data_center, sizeof(hello->data_center));
    FvFields_Text(reader, hello->nonce, sizeof(hello->nonce));
    FvFields_Text(reader, hello->mac, sizeof(hello->mac));
}

static void
pack_digest(msgpack_packer *packer, const fv_message_t *message)
{
    const fv_host_digest_t *digest = message->body.digest;

    msgpack_pack_uint64(packer, digest->config_version);
    FvPack_Bool(packer, digest->draining);
    msgpack_pack_int32(packer, digest->workers);
    msgpack_pack_int32(packer, digest->held_leases);
    pack_resources(packer, &digest->largest_capacity);
    msgpack_pack_array(packer, Fv_CLASS_COUNT);
    for (int i = 0; i < Fv_CLASS_COUNT; i++) {
        msgpack_pack_int32(packer, digest->queued[i]);
    }
    pack_resources(packer, &digest->free_total);
    pack_resources(packer, &digest->free_largest);
    pack_resources(packer, &digest->free_interactive);
    msgpack_pack_array(packer, digest->usage_count);
    for (uint32_t i = 0; i < digest->usage_count; i++) {
        msgpack_pack_array(packer, 2);
        FvPack_Text(packer, digest->usage[i].member);
        pack_resources(packer, &digest->usage[i].used);
    }
}

static void
unpack_digest(fv_field_reader_t *reader, fv_message_t *message)
{
    fv_host_digest_t *digest = calloc(1, sizeof(*digest));
    fv_field_reader_t queued;
    fv_field_reader_t usage;

    message->body.digest = digest;
    if (digest == NULL) {
        reader->failed = true;
        return;
    }
    digest->config_version = FvFields_U64(reader);
    digest->draining = FvFields_Bool(reader);
    digest->workers = (int32_t)FvFields_Int(reader, 0, INT32_MAX);
    digest->held_leases = (int32_t)FvFields_Int(reader, 0, INT32_MAX);
    unpack_resources(reader, &digest->largest_capacity);
    queued = FvFields_Array(reader);
    for (int i = 0; i < Fv_CLASS_COUNT; i++) {
        digest->queued[i] = (int32_t)FvFields_Int(&queued, 0, INT32_MAX);
    }
    unpack_resources(reader, &digest->free_total);
    unpack_resources(reader, &digest->free_largest);
    unpack_resources(reader, &digest->free_interactive);
    usage = FvFields_Array(reader);
    if (usage.count > Fv_MEMBERS_MAX) {
        reader->failed = true;
        return;
    }
    for (uint32_t i = 0; i < usage.count; i++) {
        fv_field_reader_t entry = FvFields_Array(&usage);

        FvFields_Text(&entry, digest->usage[i].member, Fv_NAME_SIZE);
        unpack_resources(&entry, &digest->usage[i].used);
        usage.failed |= entry.failed;
    }
    digest->usage_count = usage.count;
    reader->failed |= queued.failed || usage.failed;
}

static void
pack_task_request(msgpack_packer *packer, const fv_message_t *message)
{
    const fv_task_request_t *request = &message->body.task_request;

    FvPack_Text(packer, request->id);
    FvPack_Text(packer, request->worker);
    FvPack_Text(packer, request->home_host);
    FvPack_Text(packer, request->member);
    FvPack_Text(packer, request->workload);
    msgpack_pack_int32(packer, (int32_t)request->class_id);
    pack_resources(packer, &request->size);
    msgpack_pack_int32(packer, request->first);
    msgpack_pack_int32(packer, request->count);
    FvPack_Bool(packer, request->reserved);
    FvPack_Bool(packer, request->stop_on_expiry);
    FvPack_Bool(packer, request->send_once);
    msgpack_pack_int64(packer, request->wait_ms);
    FvPack_Bytes(packer, request->payload, request->payload_length);
}

static void
unpack_task_request(fv_field_reader_t *reader, fv_message_t *message)
{
    fv_task_request_t *request = &message->body.task_request;

    FvFields_Text(reader, request->id, sizeof(request->id));
    FvFields_Text(reader, request->worker, sizeof(request->worker));
    FvFields_Text(reader, request->home_host, sizeof(request->home_host));
    FvFields_Text(reader, request->member, sizeof(request->member));
    FvFields_Text(reader, request->workload, sizeof(request->workload));
    request->class_id =
        (fv_class_t)FvFields_Int(reader, 0, Fv_CLASS_COUNT - 1);
    unpack_resources(reader, &request->size);
    request->first = (int32_t)FvFields_Int(reader, 0, Fv_TASKS_MAX);
    request->count = (int32_t)FvFields_Int(reader, 0, Fv_TASKS_MAX);
    request->reserved = FvFields_Bool(reader);
    request->stop_on_expiry = FvFields_Bool(reader);
    request->send_once = FvFields_Bool(reader);
    request->wait_ms = FvFields_Int(reader, 0, INT64_MAX);
    request->payload = FvFields_DupBytes(reader, &request->payload_length);
}

static void
pack_reserved(msgpack_packer *packer, const fv_message_t *message)
{
    const fv_reserve_reply_t *reserved = message->body.reserved;

    msgpack_pack_int32(packer, (int32_t)reserved->refusal);
    msgpack_pack_array(packer, reserved->count);
    for (uint32_t i = 0; i < reserved->count; i++) {
        FvPack_Text(packer, reserved->workers[i]);
    }
}

static void
unpack_reserved(fv_field_reader_t *reader, fv_message_t *message)
{
    fv_reserve_reply_t *reserved = calloc(1, sizeof(*reserved));
    fv_field_reader_t workers;

    message->body.reserved = reserved;
    if (reserved == NULL) {
        reader->failed = true;
        return;
    }
    reserved->refusal =
        (fv_refusal_t)FvFields_Int(reader, 0, Fv_REFUSAL_UNCONFIRMED);
    workers = FvFields_Array(reader);
    if (workers.count > Fv_TASKS_MAX) {
        reader->failed = true;
        return;
    }
    for (uint32_t i = 0; i < workers.count; i++) {
        FvFields_Text(&workers, reserved->workers[i], Fv_NAME_SIZE);
    }
    reserved->count = workers.count;
    reader->failed |= workers.failed;
}

static void
pack_task_reply(msgpack_packer *packer, const fv_message_t *message)
{
    const fv_task_reply_t *reply = &message->body.task_reply;

    FvPack_Text(packer, reply->id);
    FvPack_Text(packer, reply->worker);
    msgpack_pack_int32(packer, (int32_t)reply->state);
    msgpack_pack_int32(packer, (int32_t)reply->refusal);
    msgpack_pack_int64(packer, reply->ran_ms);
    msgpack_pack_int64(packer, reply->uptime_ms);
    pack_resources(packer, &reply->used);
    msgpack_pack_uint64(packer, reply->answer_length);
    msgpack_pack_uint64(packer, reply->answer_hash);
    FvPack_Bytes(packer, reply->answer, reply->received);
}

static void
unpack_task_reply(fv_field_reader_t *reader, fv_message_t *message)
{
    fv_task_reply_t *reply = &message->body.task_reply;

    FvFields_Text(reader, reply->id, sizeof(reply->id));
    FvFields_Text(reader, reply->worker, sizeof(reply->worker));
    reply->state = (fv_task_state_t)FvFields_Int(reader, 0, Fv_TASK_UNKNOWN);
    reply->refusal =
        (fv_refusal_t)FvFields_Int(reader, 0, Fv_REFUSAL_UNCONFIRMED);
    reply->ran_ms = FvFields_Int(reader, 0, INT64_MAX);
    reply->uptime_ms = FvFields_Int(reader, 0, INT64_MAX);
    unpack_resources(reader, &reply->used);
    reply->answer_length =
        (size_t)FvFields_Int(reader, 0, Fv_ANSWER_MAX_BYTES);
    reply->answer_hash = FvFields_U64(reader);
    reply->answer = FvFields_DupBytes(reader, &reply->received);
    reader->failed |= reply->received > reply->answer_length;
}

static void
pack_lease_state(msgpack_packer *packer, const fv_message_t *message)
{
    FvPack_Bool(packer, message->body.lease_state.held);
    msgpack_pack_int64(packer, message->body.lease_state.expired_for_ms);
}

static void
unpack_lease_state(fv_field_reader_t *reader, fv_message_t *message)
{
    message->body.lease_state.held = FvFields_Bool(reader);
    message->body.lease_state.expired_for_ms =
        FvFields_Int(reader, 0, INT64_MAX);
}

static void
pack_document(msgpack_packer *packer, const fv_message_t *message)
{
    const char *text = message->body.document.text;

    FvPack_Text(packer, text ? text : "");
    FvPack_Text(packer, message->body.document.member);
    FvPack_Text(packer, message->body.document.key);
}

static void
unpack_document(fv_field_reader_t *reader, fv_message_t *message)
{
    message->body.document.text = FvFields_DupText(reader);
    FvFields_Text(reader, message->body.document.member, Fv_NAME_SIZE);
    FvFields_Text(reader, message->body.document.key, Fv_KEY_SIZE);
}

#define Fv_HELLO_CODEC                                                        \
    {                                                                         \
        .fields = 7, .pack = pack_hello, .unpack = unpack_hello               \
    }
#define Fv_TASK_REQUEST_CODEC                                                 \
    {                                                                         \
        .fields = 14, .pack = pack_task_request,                              \
        .unpack = unpack_task_request                                         \
    }
#define Fv_TASK_REPLY_CODEC                                                   \
    {                                                                         \
        .fields = 10, .pack = pack_task_reply, .unpack = unpack_task_reply    \
    }
#define Fv_DOCUMENT_CODEC                                                     \
    {                                                                         \
        .fields = 3, .pack = pack_document, .unpack = unpack_document         \
    }

static const fv_message_codec_t codecs[Fv_MESSAGE_COUNT] = {
    [Fv_MESSAGE_CHALLENGE] = Fv_HELLO_CODEC,
    [Fv_MESSAGE_HELLO] = Fv_HELLO_CODEC,
    [Fv_MESSAGE_WELCOME] = Fv_HELLO_CODEC,
    [Fv_MESSAGE_DIGEST] = {.fields = 10,
                           .pack = pack_digest,
                           .unpack = unpack_digest},
    [Fv_MESSAGE_RESERVE] = Fv_TASK_REQUEST_CODEC,
    [Fv_MESSAGE_RESERVE_REPLY] = {.fields = 2,
                                  .pack = pack_reserved,
                                  .unpack = unpack_reserved},
    [Fv_MESSAGE_START] = Fv_TASK_REQUEST_CODEC,
    [Fv_MESSAGE_TASK_REPLY] = Fv_TASK_REPLY_CODEC,
    [Fv_MESSAGE_ANSWER_CHUNK] = Fv_TASK_REPLY_CODEC,
    [Fv_MESSAGE_STOP] = Fv_TASK_REQUEST_CODEC,
    [Fv_MESSAGE_QUERY] = Fv_TASK_REQUEST_CODEC,
    [Fv_MESSAGE_RELEASE] = Fv_TASK_REQUEST_CODEC,
    [Fv_MESSAGE_LEASE_QUERY] = Fv_TASK_REQUEST_CODEC,
    [Fv_MESSAGE_LEASE_STATE] = {.fields = 2,
                                .pack = pack_lease_state,
                                .unpack = unpack_lease_state},
    [Fv_MESSAGE_JOB_STATUS] = Fv_DOCUMENT_CODEC,
    [Fv_MESSAGE_JOB_CANCEL] = Fv_DOCUMENT_CODEC,
    [Fv_MESSAGE_JOB_REPLY] = Fv_DOCUMENT_CODEC,
    [Fv_MESSAGE_CONFIG_GET] = Fv_DOCUMENT_CODEC,
    [Fv_MESSAGE_CONFIG] = Fv_DOCUMENT_CODEC,
};

/**
 * FvWire_Pack - encode a message as a frame
 * @message: the message
 * @frame: an empty buffer; set to the frame, including its length
 *
 * Return: Fv_WIRE_OK, or the reason why the message can't be sent.
 */
fv_wire_error_t
FvWire_Pack(const fv_message_t *message, fv_buffer_t *frame)
{
    const fv_message_codec_t *codec = &codecs[message->type];
    fv_wire_error_t error = Fv_WIRE_OK;
    msgpack_sbuffer body;
    msgpack_packer packer;
    uint32_t length;

    msgpack_sbuffer_init(&body);
    msgpack_packer_init(&packer, &body, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, Fv_WIRE_HEADER_FIELDS + codec->fields);
    msgpack_pack_int32(&packer, (int32_t)message->type);
    msgpack_pack_uint64(&packer, message->request_id);
    codec->pack(&packer, message);
    if (body.size > Fv_LINK_FRAME_MAX_BYTES) {
        error = Fv_WIRE_TOO_LARGE;
        goto done;
    }
    length = htonl((uint32_t)body.size);
    if (!FvBuffer_Append(frame, &length, sizeof(length)) ||
        !FvBuffer_Append(frame, body.data, body.size)) {
        error = Fv_WIRE_NO_MEMORY;
    }
done:
    msgpack_sbuffer_destroy(&body);
    return error;
}

static fv_wire_error_t
unpack_fields(fv_field_reader_t *reader, fv_message_t *message)
{
    int64_t type = FvFields_Int(reader, 0, Fv_MESSAGE_COUNT - 1);

    message->request_id = FvFields_U64(reader);
    if (reader->failed) {
        return Fv_WIRE_MALFORMED;
    }
    message->type = (fv_message_type_t)type;
    codecs[type].unpack(reader, message);
    if (reader->failed) {
        FvWire_Clear(message);
        return Fv_WIRE_MALFORMED;
    }
    return Fv_WIRE_OK;
}

/**
 * FvWire_Unpack - decode the payload of a frame
 * @payload: the bytes after the length
 * @length: number of bytes
 * @message: set to the message; the caller clears it with FvWire_Clear()
 *
 * Return: Fv_WIRE_OK, or an error; @message is then empty.
 */
fv_wire_error_t
FvWire_Unpack(const uint8_t *payload, size_t length, fv_message_t *message)
{
    fv_wire_error_t error = Fv_WIRE_MALFORMED;
    msgpack_unpacked unpacked;
    fv_field_reader_t reader;

    *message = (fv_message_t){0};
    if (FvFields_Open(&reader, &unpacked, payload, length)) {
        error = unpack_fields(&reader, message);
    }
    msgpack_unpacked_destroy(&unpacked);
    return error;
}

/**
 * FvWire_Clear - free the memory that a message owns
 * @message: the message
 */
void
FvWire_Clear(fv_message_t *message)
{
    switch (message->type) {
    case Fv_MESSAGE_DIGEST:
        free(message->body.digest);
        break;
    case Fv_MESSAGE_RESERVE_REPLY:
        free(message->body.reserved);
        break;
    case Fv_MESSAGE_RESERVE:
    case Fv_MESSAGE_START:
    case Fv_MESSAGE_STOP:
    case Fv_MESSAGE_QUERY:
    case Fv_MESSAGE_RELEASE:
    case Fv_MESSAGE_LEASE_QUERY:
        free(message->body.task_request.payload);
        break;
    case Fv_MESSAGE_TASK_REPLY:
    case Fv_MESSAGE_ANSWER_CHUNK:
        free(message->body.task_reply.answer);
        break;
    case Fv_MESSAGE_JOB_STATUS:
    case Fv_MESSAGE_JOB_CANCEL:
    case Fv_MESSAGE_JOB_REPLY:
    case Fv_MESSAGE_CONFIG_GET:
    case Fv_MESSAGE_CONFIG:
        free(message->body.document.text);
        break;
    default:
        break;
    }
    *message = (fv_message_t){0};
}

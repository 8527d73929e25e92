/*
 * Buffers and message framing of a TCP connection between entry hosts.
 */

#include "daemon.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define Fv_CONNECTION_READ_BYTES (64 * 1024)
/* The connection to a slow peer is closed at this limit. */
#define Fv_CONNECTION_UNSENT_MAX_BYTES (40 * 1024 * 1024)
/* Handshake messages are shorter. Limits what unauthenticated peers can make
 * this host buffer. */
#define Fv_CONNECTION_HANDSHAKE_MAX_BYTES 1024

/**
 * FvConnection_New - allocate a connection for a socket
 * @fd: the socket
 * @dialed: whether this host opened the connection
 *
 * Return: the connection, or NULL when memory is exhausted.
 */
fv_connection_t *
FvConnection_New(int fd, bool dialed)
{
    fv_connection_t *connection = calloc(1, sizeof(*connection));

    if (connection == NULL) {
        return NULL;
    }
    connection->fd = fd;
    connection->dialed = dialed;
    FvText_RandomHex(connection->nonce, sizeof(connection->nonce));
    return connection;
}

/**
 * FvConnection_Free - release a connection; its socket is already closed
 * @connection: the connection
 */
void
FvConnection_Free(fv_connection_t *connection)
{
    FvBuffer_Clear(&connection->in);
    FvBuffer_Clear(&connection->out);
    free(connection);
}

/**
 * FvConnection_QueueFrame - append a frame to the output
 * @connection: the connection
 * @frame: the frame
 *
 * Return: false if too much data is unsent or memory is exhausted.
 */
bool
FvConnection_QueueFrame(fv_connection_t *connection, const fv_buffer_t *frame)
{
    size_t unsent = connection->out.length - connection->out_sent;

    return unsent + frame->length <= Fv_CONNECTION_UNSENT_MAX_BYTES &&
           FvBuffer_Append(&connection->out, frame->data, frame->length);
}

/**
 * FvConnection_Queue - append a message to the output
 * @connection: the connection
 * @message: the message
 *
 * Return: false if it can't be encoded or queued.
 */
bool
FvConnection_Queue(fv_connection_t *connection, const fv_message_t *message)
{
    fv_buffer_t frame = {0};
    bool queued = FvWire_Pack(message, &frame) == Fv_WIRE_OK &&
                  FvConnection_QueueFrame(connection, &frame);

    FvBuffer_Clear(&frame);
    return queued;
}

/**
 * FvConnection_Flush - send as much of the output as the socket accepts
 * @connection: the connection
 *
 * Return: false if the connection has failed.
 */
bool
FvConnection_Flush(fv_connection_t *connection)
{
    size_t unsent = connection->out.length - connection->out_sent;
    ssize_t length;

    if (unsent == 0) {
        return true;
    }
    length = send(connection->fd, connection->out.data + connection->out_sent,
                  unsent, MSG_NOSIGNAL);
    if (length < 0) {
        return errno == EAGAIN || errno == EINTR;
    }
    FvMetrics_Add(Fv_COUNTER_LINK_BYTES_SENT, (uint64_t)length);
    connection->out_sent += (size_t)length;
    if (connection->out_sent == connection->out.length) {
        FvBuffer_Clear(&connection->out);
        connection->out_sent = 0;
    }
    return true;
}

/* Removes input that has been consumed. */
static void
compact_input(fv_connection_t *connection)
{
    fv_buffer_t *in = &connection->in;

    if (connection->in_consumed == in->length) {
        FvBuffer_Clear(in);
    }
    else if (connection->in_consumed > 0) {
        memmove(in->data, in->data + connection->in_consumed,
                in->length - connection->in_consumed);
        in->length -= connection->in_consumed;
    }
    connection->in_consumed = 0;
}

/**
 * FvConnection_Read - read available input from the socket
 * @connection: the connection
 *
 * Return: false if the connection is closed or has failed.
 */
bool
FvConnection_Read(fv_connection_t *connection)
{
    uint8_t data[Fv_CONNECTION_READ_BYTES];
    ssize_t length = read(connection->fd, data, sizeof(data));

    if (length < 0 && (errno == EAGAIN || errno == EINTR)) {
        return true;
    }
    if (length <= 0) {
        return false;
    }
    FvMetrics_Add(Fv_COUNTER_LINK_BYTES_RECEIVED, (uint64_t)length);
    compact_input(connection);
    return FvBuffer_Append(&connection->in, data, (size_t)length);
}

/**
 * FvConnection_NextMessage - take the next complete message from the input
 * @connection: the connection
 * @message: set to the message; the caller calls FvWire_Clear
 * @error: set to Fv_WIRE_OK, or to the reason why the frame is invalid
 *
 * Return: false if no complete message has arrived; @error is then not set.
 */
bool
FvConnection_NextMessage(fv_connection_t *connection, fv_message_t *message,
                         fv_wire_error_t *error)
{
    size_t available = connection->in.length - connection->in_consumed;
    size_t limit = connection->state == Fv_CONNECTION_READY
                       ? Fv_LINK_FRAME_MAX_BYTES
                       : Fv_CONNECTION_HANDSHAKE_MAX_BYTES;
    const uint8_t *data;
    uint32_t length;

    *message = (fv_message_t){0};
    if (available < sizeof(length)) {
        return false;
    }
    data = connection->in.data + connection->in_consumed;
    memcpy(&length, data, sizeof(length));
    length = ntohl(length);
    if (length > limit) {
        *error = Fv_WIRE_TOO_LARGE;
        return true;
    }
    if (available < sizeof(length) + length) {
        return false;
    }
    connection->in_consumed += sizeof(length) + length;
    *error = FvWire_Unpack(data + sizeof(length), length, message);
    return true;
}

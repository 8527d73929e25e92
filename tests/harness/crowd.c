/*
 * A crowd of callers that send without end and read nothing, and what their
 * host's process holds meanwhile.
 */

#include "crowd.h"

#include "fake-server.h"
#include "http-call.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CROWD_WRITE_BYTES 65536
#define CROWD_MEASURE_MS 20
#define CROWD_POLL_MS 10

/* The crowd stops when the host takes nothing more for this long. */
#define CROWD_STUCK_MS 3000

/* An ordinary call is repeated until it is answered, or for this long. */
#define CROWD_CALL_MS 30000
#define CROWD_CALL_TIMEOUT_MS 3000

#define TCP_STATE_LISTEN 0x0a

/* Bytes in the kernel for the connections that a host has accepted, or has not
 * accepted yet. */
static int64_t
read_kernel_bytes(const crowd_t *crowd)
{
    FILE *file = fopen("/proc/net/tcp", "r");
    char line[256];
    int64_t bytes = 0;

    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        unsigned port;
        unsigned state;
        unsigned sent;
        unsigned received;

        if (sscanf(line, " %*d: %*8x:%x %*8x:%*x %x %x:%x", &port, &state,
                   &sent, &received) != 4 ||
            state == TCP_STATE_LISTEN) {
            continue;
        }
        for (int i = ENTRY_PORT_CALLERS; i <= ENTRY_PORT_METRICS; i++) {
            if ((int)port ==
                FvEntryCell_Port(crowd->cell, crowd->host, (entry_port_t)i)) {
                bytes += (int64_t)sent + received;
            }
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    return bytes;
}

static int64_t
read_rss_kib(pid_t pid)
{
    char path[64];
    char line[256];
    long long kib = -1;
    FILE *file;

    snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
    file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        if (strncmp(line, "VmRSS:", 6) == 0) {
            kib = strtoll(line + 6, NULL, 10);
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    return kib;
}

static int
count_descriptors(pid_t pid)
{
    char path[64];
    int count = 0;
    DIR *directory;

    snprintf(path, sizeof(path), "/proc/%d/fd", (int)pid);
    directory = opendir(path);
    if (directory == NULL) {
        return -1;
    }
    while (readdir(directory) != NULL) {
        count++;
    }
    closedir(directory);
    return count - 2; /* "." and ".." */
}

/**
 * FvCrowd_Measure - read what the host's process holds now
 * @crowd: the crowd, whose peaks are raised
 */
void
FvCrowd_Measure(crowd_t *crowd)
{
    pid_t pid = crowd->cell->hosts[crowd->host].process.pid;
    int64_t rss_kib = read_rss_kib(pid);
    int64_t kernel_kib = read_kernel_bytes(crowd) / 1024;
    int descriptors = count_descriptors(pid);

    crowd->peak.alive = rss_kib > 0; /* a process that has ended has none */
    if (rss_kib + kernel_kib > crowd->peak.memory_kib) {
        crowd->peak.memory_kib = rss_kib + kernel_kib;
    }
    if (kernel_kib > crowd->peak.kernel_kib) {
        crowd->peak.kernel_kib = kernel_kib;
    }
    if (descriptors > crowd->peak.descriptors) {
        crowd->peak.descriptors = descriptors;
    }
}

/**
 * FvCrowd_Watch - start to measure a host
 * @crowd: filled in, without clients
 * @cell: the cell
 * @host: index of the host
 */
void
FvCrowd_Watch(crowd_t *crowd, const entry_cell_t *cell, int host)
{
    *crowd = (crowd_t){.cell = cell, .host = host};
    FvCrowd_Measure(crowd);
}

/**
 * FvCrowd_Connect - open connections
 * @crowd: the crowd, which gets them in addition
 * @port: the port on loopback
 * @clients: how many
 *
 * Return: false when one cannot be opened.
 */
bool
FvCrowd_Connect(crowd_t *crowd, int port, int clients)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port),
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

    for (int i = 0; i < clients && crowd->count < CROWD_CLIENTS_MAX; i++) {
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

        if (fd < 0 ||
            connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
            fcntl(fd, F_SETFL, O_NONBLOCK) != 0) {
            close(fd);
            return false;
        }
        crowd->sent[crowd->count] = 0;
        crowd->next_ms[crowd->count] = 0;
        crowd->fds[crowd->count++] = fd;
    }
    return true;
}

/* Writes the part of the script that follows what was sent. Returns the
 * number of bytes, 0 when the connection takes none, or -1. */
static ssize_t
write_on(int fd, const crowd_script_t *script, int64_t sent)
{
    static char text[CROWD_WRITE_BYTES];
    size_t head_length = script->head != NULL ? strlen(script->head) : 0;
    size_t repeat_length = script->repeat != NULL ? strlen(script->repeat) : 0;
    size_t length = 0;
    size_t limit = sizeof(text);
    ssize_t count;

    if (script->write_max > 0 && script->write_max < limit) {
        limit = script->write_max;
    }
    while (length < limit) {
        size_t at = (size_t)sent + length;
        const char *part;
        size_t part_length;

        if (at < head_length) {
            part = script->head + at;
            part_length = head_length - at;
        }
        else if (repeat_length > 0) {
            at = (at - head_length) % repeat_length;
            part = script->repeat + at;
            part_length = repeat_length - at;
        }
        else {
            break;
        }
        if (part_length > limit - length) {
            part_length = limit - length;
        }
        memcpy(text + length, part, part_length);
        length += part_length;
    }
    if (length == 0) {
        return 0;
    }
    count = send(fd, text, length, MSG_NOSIGNAL | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) ? 0 : count;
}

/* Closed by the host, as far as can be seen without reading answers. */
static bool
is_closed(int fd)
{
    struct pollfd state = {.fd = fd, .events = POLLRDHUP};

    return poll(&state, 1, 0) > 0 &&
           (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

static void
close_client(crowd_t *crowd, int client)
{
    close(crowd->fds[client]);
    crowd->fds[client] = -1;
}

/* Returns the number of bytes that the host took. */
static int64_t
send_round(crowd_t *crowd, const crowd_script_t *script, int64_t now_ms)
{
    int64_t taken = 0;

    for (int i = 0; i < crowd->count; i++) {
        ssize_t count;

        if (crowd->fds[i] < 0) {
            continue;
        }
        if (is_closed(crowd->fds[i])) {
            close_client(crowd, i);
            continue;
        }
        if (now_ms < crowd->next_ms[i] ||
            (script->bytes_max > 0 && crowd->sent[i] >= script->bytes_max)) {
            continue;
        }
        count = write_on(crowd->fds[i], script, crowd->sent[i]);
        if (count < 0) {
            close_client(crowd, i);
            continue;
        }
        crowd->sent[i] += count;
        crowd->next_ms[i] = now_ms + script->pause_ms;
        taken += count;
    }
    return taken;
}

/**
 * FvCrowd_Send - send for as long as the host takes anything
 * @crowd: the crowd
 * @script: what each client sends
 * @memory_max_kib: stops when the host holds more than twice this, so that a
 *                  test of a host without limits spares the machine
 *
 * A client never reads, and ends when the host has closed its connection. The
 * sending ends when all clients have ended, have sent all, or found no room
 * for a while.
 */
void
FvCrowd_Send(crowd_t *crowd, const crowd_script_t *script,
             int64_t memory_max_kib)
{
    int64_t now_ms = FvClock_NowMs();
    int64_t until_ms = now_ms + script->duration_ms;
    int64_t taken_ms = now_ms;
    int64_t measured_ms = 0;

    while (FvCrowd_Open(crowd) > 0 && now_ms < until_ms &&
           now_ms - taken_ms < CROWD_STUCK_MS + script->pause_ms &&
           crowd->peak.alive && crowd->peak.memory_kib < 2 * memory_max_kib) {
        if (send_round(crowd, script, now_ms) > 0) {
            taken_ms = now_ms;
        }
        else {
            FvFake_SleepMs(CROWD_POLL_MS);
        }
        if (now_ms - measured_ms >= CROWD_MEASURE_MS) {
            measured_ms = now_ms;
            FvCrowd_Measure(crowd);
        }
        now_ms = FvClock_NowMs();
    }
    FvCrowd_Measure(crowd);
}

/**
 * FvCrowd_Open - count the connections that are open
 * @crowd: the crowd
 *
 * Return: the number of those that the host is not known to have closed.
 */
int
FvCrowd_Open(const crowd_t *crowd)
{
    int count = 0;

    for (int i = 0; i < crowd->count; i++) {
        count += crowd->fds[i] >= 0;
    }
    return count;
}

/**
 * FvCrowd_Print - print what was measured
 * @crowd: the crowd
 */
void
FvCrowd_Print(const crowd_t *crowd)
{
    int64_t sent = 0;

    for (int i = 0; i < crowd->count; i++) {
        sent += crowd->sent[i];
    }
    printf("sent %" PRId64 " KiB, peak %" PRId64 " KiB, of it in the kernel "
           "%" PRId64 " KiB, %d descriptors, %d of %d connections open ",
           sent / 1024, crowd->peak.memory_kib, crowd->peak.kernel_kib,
           crowd->peak.descriptors, FvCrowd_Open(crowd), crowd->count);
}

/**
 * FvCrowd_Close - close all connections
 * @crowd: the crowd
 */
void
FvCrowd_Close(crowd_t *crowd)
{
    for (int i = 0; i < crowd->count; i++) {
        if (crowd->fds[i] >= 0) {
            close_client(crowd, i);
        }
    }
}

/**
 * FvCrowd_Call - make one ordinary call on a connection of its own
 * @crowd: the crowd, whose host is called
 * @port: which of its ports
 * @path: the path
 *
 * A call without an answer is repeated.
 *
 * Return: the status; 0 when there was no answer at all.
 */
int
FvCrowd_Call(const crowd_t *crowd, entry_port_t port, const char *path)
{
    int64_t until_ms = FvClock_NowMs() + CROWD_CALL_MS;
    char url[256];
    int status = 0;

    snprintf(url, sizeof(url), "http://127.0.0.1:%d%s",
             FvEntryCell_Port(crowd->cell, crowd->host, port), path);
    while (status == 0 && FvClock_NowMs() < until_ms) {
        http_reply_t reply;

        FvHttp_Run(
            &(http_call_t){.url = url, .timeout_ms = CROWD_CALL_TIMEOUT_MS},
            &reply);
        status = reply.status;
        FvHttp_FreeReply(&reply);
        if (status == 0) {
            FvFake_SleepMs(100);
        }
    }
    return status;
}

/*
 * Logging through log4c: one line of key=value pairs for each event, written
 * to standard error or, buffered, to standard output.
 */

#include "fireflyvalve.h"

#include <fcntl.h>
#include <limits.h>
#include <log4c.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <string.h>
#include <strings.h>
#include <time.h>
#include <unistd.h>

#define Fv_LOG_CATEGORY "fireflyvalve"
#define Fv_LOG_PAIRS_SIZE 1024
/* An escaped byte takes up to four bytes, the quotes of a value two. */
#define Fv_LOG_LINE_SIZE 5120
/* Replaces the spaces between pairs in the format, so that spaces within
 * values don't end a pair. */
#define Fv_LOG_SEPARATOR '\x1f'

typedef struct fv_log_line {
    char text[Fv_LOG_LINE_SIZE];
    size_t length;
    bool truncated;
} fv_log_line_t;

static const char *const level_names[] = {"error", "warn", "info", "debug"};
static const int level_priorities[] = {
    LOG4C_PRIORITY_ERROR, LOG4C_PRIORITY_WARN, LOG4C_PRIORITY_INFO,
    LOG4C_PRIORITY_DEBUG};

static _Atomic(log4c_category_t *) category;
static char host_name[Fv_NAME_SIZE];
static pthread_mutex_t write_lock = PTHREAD_MUTEX_INITIALIZER;

static int
append_to_stderr(log4c_appender_t *appender,
                 const log4c_logging_event_t *event)
{
    const char *text = event->evt_rendered_msg;
    size_t remaining = strlen(text);

    (void)appender;
    pthread_mutex_lock(&write_lock);
    while (remaining > 0) {
        ssize_t written = write(STDERR_FILENO, text, remaining);

        if (written <= 0) {
            break;
        }
        text += written;
        remaining -= (size_t)written;
    }
    pthread_mutex_unlock(&write_lock);
    return 0;
}

/* If standard output blocks and the buffer is full, lines are dropped rather
 * than delaying the caller. */
#define Fv_LOG_BUFFER_BYTES (256 * 1024)
#define Fv_LOG_FLUSH_BYTES (16 * 1024)

/* Rate limit of lines below the level warn. The leader of a cell of 350
 * workers writes 0.2 MB/s in a burst; the limit is ten times that. */
#define Fv_LOG_RATE_BYTES_PER_S (2 * 1024 * 1024)

static char log_buffer[Fv_LOG_BUFFER_BYTES];
static size_t buffered_bytes;
static uint64_t lines_dropped;
static int64_t rate_tokens_bytes = Fv_LOG_RATE_BYTES_PER_S;
static int64_t rate_refilled_ms;

/* Returns how much to write at once. A write of at most PIPE_BUF bytes to a
 * pipe is atomic, so lines of several processes don't get mixed. */
static size_t
atomic_write_length(const char *text, size_t length)
{
    const char *end = memchr(text, '\n', length);
    size_t first_line_length = end != NULL ? (size_t)(end - text) + 1 : length;

    if (length <= PIPE_BUF) {
        return length;
    }
    end = memrchr(text, '\n', PIPE_BUF);
    return end != NULL ? (size_t)(end - text) + 1 : first_line_length;
}

static void
flush_locked(void)
{
    size_t written = 0;

    while (written < buffered_bytes) {
        ssize_t count = write(STDOUT_FILENO, log_buffer + written,
                              atomic_write_length(log_buffer + written,
                                                  buffered_bytes - written));

        if (count <= 0) {
            break; /* the pipe is full: the rest stays in the buffer */
        }
        written += (size_t)count;
    }
    memmove(log_buffer, log_buffer + written, buffered_bytes - written);
    buffered_bytes -= written;
}

/* Token bucket. Returns false if the line exceeds the rate limit, which
 * doesn't apply to warnings and errors. */
static bool
consume_rate_tokens(int priority, size_t length)
{
    int64_t now_ms = FvClock_NowMs();

    rate_tokens_bytes +=
        (now_ms - rate_refilled_ms) * Fv_LOG_RATE_BYTES_PER_S / Fv_MS_PER_S;
    rate_refilled_ms = now_ms;
    if (rate_tokens_bytes > Fv_LOG_RATE_BYTES_PER_S) {
        rate_tokens_bytes = Fv_LOG_RATE_BYTES_PER_S;
    }
    if (priority > LOG4C_PRIORITY_WARN &&
        rate_tokens_bytes < (int64_t)length) {
        return false;
    }
    rate_tokens_bytes -= (int64_t)length;
    return true;
}

static int
append_to_buffer(log4c_appender_t *appender,
                 const log4c_logging_event_t *event)
{
    const char *text = event->evt_rendered_msg;
    size_t length = strnlen(text, Fv_LOG_LINE_SIZE);

    (void)appender;
    pthread_mutex_lock(&write_lock);
    if (buffered_bytes + length > Fv_LOG_FLUSH_BYTES) {
        flush_locked();
    }
    if (buffered_bytes + length <= sizeof(log_buffer) &&
        consume_rate_tokens(event->evt_priority, length)) {
        memcpy(log_buffer + buffered_bytes, text, length);
        buffered_bytes += length;
    }
    else {
        lines_dropped++;
    }
    pthread_mutex_unlock(&write_lock);
    return 0;
}

static const log4c_appender_type_t buffer_appender_type = {
    .name = "fireflyvalve-stdout", .append = append_to_buffer};

static const log4c_appender_type_t stderr_appender_type = {
    .name = "fireflyvalve-stderr", .append = append_to_stderr};

/* log4c's default layout isn't thread-safe: it uses a shared buffer. */
static const char *
format_unchanged(const log4c_layout_t *layout,
                 const log4c_logging_event_t *event)
{
    (void)layout;
    return event->evt_msg;
}

static const log4c_layout_type_t unchanged_layout_type = {
    .name = "fireflyvalve-plain", .format = format_unchanged};

static int open_appender(const log4c_appender_type_t *type,
                         fv_log_level_t level, const char *host);

/**
 * FvLog_Open - start logging to standard error
 * @level: least severe level that is written
 * @host: host name put into each line
 *
 * log4c_init() is not called, since it would read a log4crc file from the
 * current directory. Events logged before this call are dropped.
 *
 * Return: 0, or -1 when log4c cannot be set up.
 */
int
FvLog_Open(fv_log_level_t level, const char *host)
{
    return open_appender(&stderr_appender_type, level, host);
}

/**
 * FvLog_OpenBuffered - start buffered, non-blocking logging to standard output
 * @level: least severe level that is written
 * @host: host name put into each line
 *
 * FvLog_Flush() must be called regularly to write the buffer.
 *
 * Return: 0, or -1 when log4c cannot be set up.
 */
int
FvLog_OpenBuffered(fv_log_level_t level, const char *host)
{
    int flags = fcntl(STDOUT_FILENO, F_GETFL);

    if (flags >= 0 && fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK) != 0) {
        fputs("fireflyvalve: standard output may block\n", stderr);
    }
    return open_appender(&buffer_appender_type, level, host);
}

/**
 * FvLog_Flush - write buffered lines until the output would block
 *
 * Dropped lines are reported by a log event with their number.
 */
void
FvLog_Flush(void)
{
    uint64_t dropped;

    pthread_mutex_lock(&write_lock);
    flush_locked();
    dropped = buffered_bytes < Fv_LOG_FLUSH_BYTES ? lines_dropped : 0;
    lines_dropped -= dropped;
    pthread_mutex_unlock(&write_lock);
    if (dropped > 0) {
        FvLog_Event(Fv_LOG_WARN, "log_lines_dropped", "lines=%llu",
                    (unsigned long long)dropped);
    }
}

static bool
has_buffered_lines(void)
{
    bool buffered;

    pthread_mutex_lock(&write_lock);
    buffered = buffered_bytes > 0 || lines_dropped > 0;
    pthread_mutex_unlock(&write_lock);
    return buffered;
}

/**
 * FvLog_Finish - write all buffered lines, waiting for a slow reader
 * @limit_ms: how long to wait
 */
void
FvLog_Finish(int64_t limit_ms)
{
    int64_t until_ms = FvClock_NowMs() + limit_ms;
    struct pollfd output = {.fd = STDOUT_FILENO, .events = POLLOUT};

    FvLog_Flush();
    while (has_buffered_lines()) {
        int64_t left_ms = until_ms - FvClock_NowMs();

        if (left_ms <= 0 || poll(&output, 1, (int)left_ms) <= 0 ||
            (output.revents & POLLOUT) == 0) {
            break;
        }
        FvLog_Flush();
    }
}

static int
open_appender(const log4c_appender_type_t *type, fv_log_level_t level,
              const char *host)
{
    log4c_category_t *opened = log4c_category_get(Fv_LOG_CATEGORY);
    log4c_appender_t *appender = log4c_appender_get(Fv_LOG_CATEGORY);
    log4c_layout_t *layout = log4c_layout_get(Fv_LOG_CATEGORY);

    if (opened == NULL || appender == NULL || layout == NULL) {
        return -1;
    }
    log4c_layout_set_type(layout, &unchanged_layout_type);
    log4c_appender_set_layout(appender, layout);
    snprintf(host_name, sizeof(host_name), "%s", host);
    log4c_appender_set_type(appender, type);
    log4c_category_set_appender(opened, appender);
    log4c_category_set_additivity(opened, 0);
    log4c_category_set_priority(opened, level_priorities[level]);
    atomic_store(&category, opened);
    return 0;
}

/**
 * FvLog_Close - stop logging; no other thread may log during the call
 */
void
FvLog_Close(void)
{
    if (atomic_exchange(&category, NULL) != NULL) {
        log4c_fini();
    }
}

/**
 * FvLog_ParseLevel - parse the name of a level
 * @text: "error", "warn", "info" or "debug"
 * @level: set when the name is valid
 *
 * Return: false when the name is invalid.
 */
bool
FvLog_ParseLevel(const char *text, fv_log_level_t *level)
{
    for (int i = Fv_LOG_ERROR; i <= Fv_LOG_DEBUG; i++) {
        if (strcmp(text, level_names[i]) == 0) {
            *level = (fv_log_level_t)i;
            return true;
        }
    }
    return false;
}

static void
append(fv_log_line_t *line, const char *text, size_t length)
{
    /* Reserves two bytes for the line feed and the NUL. */
    if (line->length + length + 2 > sizeof(line->text)) {
        line->truncated = true;
        return;
    }
    memcpy(line->text + line->length, text, length);
    line->length += length;
}

static void
append_escaped(fv_log_line_t *line, unsigned char byte)
{
    char escaped[5];

    if (byte == '\n') {
        append(line, "\\n", 2);
    }
    else if (byte == '"' || byte == '\\') {
        snprintf(escaped, sizeof(escaped), "\\%c", byte);
        append(line, escaped, 2);
    }
    else if (byte < 0x20 || byte == 0x7f) {
        snprintf(escaped, sizeof(escaped), "\\x%02x", byte);
        append(line, escaped, 4);
    }
    else {
        append(line, (const char *)&byte, 1);
    }
}

static bool
needs_quotes(const char *value, size_t length)
{
    for (size_t i = 0; i < length; i++) {
        unsigned char byte = (unsigned char)value[i];

        if (byte <= ' ' || byte == '"' || byte == '\\' || byte == '=' ||
            byte == 0x7f) {
            return true;
        }
    }
    return length == 0;
}

static void
append_value(fv_log_line_t *line, const char *value, size_t length)
{
    bool quoted = needs_quotes(value, length);

    if (!quoted) {
        append(line, value, length);
        return;
    }
    append(line, "\"", 1);
    for (size_t i = 0; i < length; i++) {
        append_escaped(line, (unsigned char)value[i]);
    }
    append(line, "\"", 1);
}

static size_t
key_length(const char *text)
{
    return strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789_");
}

/* Replaces each space that precedes "key=" in the format by the separator. */
static void
mark_separators(char *format)
{
    for (char *space = strchr(format, ' '); space != NULL;
         space = strchr(space + 1, ' ')) {
        size_t length = key_length(space + 1);

        if (length > 0 && space[1 + length] == '=') {
            *space = Fv_LOG_SEPARATOR;
        }
    }
}

/*
 * Finds the separator before the next key of the format. Other separator bytes
 * are part of a value, so a value can't inject a pair.
 */
static const char *
find_next_pair(const char *pairs, const char *next_key)
{
    size_t length = key_length(next_key) + 1;

    for (const char *at = strchr(pairs, Fv_LOG_SEPARATOR); at != NULL;
         at = strchr(at + 1, Fv_LOG_SEPARATOR)) {
        if (strncmp(at + 1, next_key, length) == 0) {
            return at;
        }
    }
    return NULL;
}

static void
append_pairs(fv_log_line_t *line, const char *pairs, const char *format)
{
    while (*pairs != '\0') {
        const char *mark = strchr(format, Fv_LOG_SEPARATOR);
        const char *end = NULL;
        size_t key = key_length(pairs);

        if (mark != NULL) {
            end = find_next_pair(pairs, mark + 1);
            format = mark + 1;
        }
        if (end == NULL) {
            end = pairs + strlen(pairs);
        }
        append(line, " ", 1);
        if (pairs[key] == '=') {
            append(line, pairs, key + 1);
            pairs += key + 1;
        }
        append_value(line, pairs, (size_t)(end - pairs));
        pairs = *end == '\0' ? end : end + 1;
    }
}

static void
append_prefix(fv_log_line_t *line, fv_log_level_t level, const char *event)
{
    char prefix[Fv_NAME_SIZE * 3];
    char date[32];
    int64_t wall_ms = FvClock_WallMs();
    time_t seconds = (time_t)(wall_ms / Fv_MS_PER_S);
    struct tm utc;
    int length;

    gmtime_r(&seconds, &utc);
    strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &utc);
    length = snprintf(prefix, sizeof(prefix),
                      "time=%s.%03dZ level=%s host=%s event=%s", date,
                      (int)(wall_ms % Fv_MS_PER_S), level_names[level],
                      host_name, event);
    append(line, prefix, strnlen(prefix, (size_t)length));
}

/**
 * FvLog_LevelWithin - bound how often a frequent event is logged
 * @quota: the lines so far
 * @lines_max: lines a second
 * @now_ms: the time
 *
 * Return: Fv_LOG_INFO within the bound, else Fv_LOG_DEBUG.
 */
fv_log_level_t
FvLog_LevelWithin(fv_log_quota_t *quota, uint32_t lines_max, int64_t now_ms)
{
    int64_t second = now_ms / Fv_MS_PER_S;

    if (quota->second != second) {
        *quota = (fv_log_quota_t){.second = second};
    }
    return quota->lines++ < lines_max ? Fv_LOG_INFO : Fv_LOG_DEBUG;
}

/**
 * FvLog_Event - log an event
 * @level: severity
 * @event: event name, one word
 * @format: "key=%s other=%d": lower-case keys, one space between pairs; NULL
 *          when there are none
 *
 * Values are quoted and escaped as needed. A line with more than about 1 KiB
 * of values is truncated and ends with truncated=true.
 */
void
FvLog_Event(fv_log_level_t level, const char *event, const char *format, ...)
{
    log4c_category_t *open = atomic_load(&category);
    char marked[Fv_LOG_PAIRS_SIZE];
    char pairs[Fv_LOG_PAIRS_SIZE] = "";
    fv_log_line_t line = {.length = 0};
    va_list arguments;

    if (open == NULL ||
        !log4c_category_is_priority_enabled(open, level_priorities[level])) {
        return;
    }
    append_prefix(&line, level, event);
    if (format != NULL) {
        snprintf(marked, sizeof(marked), "%s", format);
        mark_separators(marked);
        va_start(arguments, format);
        line.truncated = vsnprintf(pairs, sizeof(pairs), marked, arguments) >=
                         (int)sizeof(pairs);
        va_end(arguments);
        append_pairs(&line, pairs, marked);
    }
    if (line.truncated && line.length + 17 < sizeof(line.text)) {
        append(&line, " truncated=true", 15);
    }
    line.text[line.length++] = '\n';
    line.text[line.length] = '\0';
    log4c_category_log(open, level_priorities[level], "%s", line.text);
}

/*
 * Log lines: a value cannot end a line or add pairs to it, and the buffered
 * log neither blocks the process, splits lines nor exceeds its rate limit.
 */

#include "fireflyvalve.h"
#include "suite.h"

#include <fcntl.h>
#include <limits.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static char captured_text[1024 * 1024];

/* Returns what a function writes to standard error. */
static const char *
capture(void (*run)(void))
{
    FILE *file = tmpfile();
    int saved_fd = dup(STDERR_FILENO);
    size_t length;

    CU_ASSERT_PTR_NOT_NULL_FATAL(file);
    dup2(fileno(file), STDERR_FILENO);
    FvLog_Open(Fv_LOG_INFO, "host-a");
    run();
    FvLog_Close();
    dup2(saved_fd, STDERR_FILENO);
    close(saved_fd);
    rewind(file);
    length = fread(captured_text, 1, sizeof(captured_text) - 1, file);
    captured_text[length] = '\0';
    fclose(file);
    return captured_text;
}

static void
expect_captured(const char *line)
{
    bool found = strstr(captured_text, line) != NULL;

    CU_ASSERT_TRUE(found);
    if (!found) {
        printf("\n  missing: %s  in: %s", line, captured_text);
    }
}

static int
count_lines(void)
{
    int lines = 0;

    for (const char *at = captured_text; *at != '\0'; at++) {
        lines += *at == '\n';
    }
    return lines;
}

static void
write_values(void)
{
    FvLog_Event(Fv_LOG_INFO, "plain", "key=%s count=%d", "k-1", 3);
    FvLog_Event(Fv_LOG_WARN, "spaces", "reason=%s", "no such host");
    FvLog_Event(Fv_LOG_ERROR, "injected", "reason=%s member=%s",
                "x\ntime=now level=info member=m2", "m1");
    FvLog_Event(Fv_LOG_INFO, "control", "value=%s", "a\x1b[2J\x7f\"\\");
    FvLog_Event(Fv_LOG_INFO, "separator", "value=%s next=%d", "a\x1fother=1",
                2);
    FvLog_Event(Fv_LOG_INFO, "empty", "value=%s", "");
    FvLog_Event(Fv_LOG_INFO, "none", NULL);
    FvLog_Event(Fv_LOG_DEBUG, "hidden", NULL);
}

static void
test_values_are_escaped(void)
{
    capture(write_values);
    expect_captured("level=info host=host-a event=plain key=k-1 count=3\n");
    expect_captured(
        "level=warn host=host-a event=spaces reason=\"no such host\"\n");
    expect_captured(
        "event=injected reason=\"x\\ntime=now level=info member=m2\" "
        "member=m1\n");
    expect_captured("event=control value=\"a\\x1b[2J\\x7f\\\"\\\\\"\n");
    expect_captured("event=separator value=\"a\\x1fother=1\" next=2\n");
    expect_captured("event=empty value=\"\"\n");
    expect_captured("event=none\n");
    CU_ASSERT_PTR_NULL(strstr(captured_text, "hidden"));
    CU_ASSERT_EQUAL(count_lines(), 7);
}

static void
write_long_value(void)
{
    char value[8192];

    memset(value, '\n', sizeof(value) - 1);
    value[sizeof(value) - 1] = '\0';
    FvLog_Event(Fv_LOG_INFO, "long", "value=%s end=%d", value, 1);
}

static void
test_long_value_is_truncated(void)
{
    capture(write_long_value);
    expect_captured(" truncated=true\n");
    CU_ASSERT_EQUAL(count_lines(), 1);
}

static void *
write_thread_lines(void *context)
{
    (void)context;
    for (int i = 0; i < 200; i++) {
        FvLog_Event(Fv_LOG_INFO, "thread", "value=%s", "some words here");
    }
    return NULL;
}

static void
write_from_threads(void)
{
    pthread_t threads[8];

    for (int i = 0; i < 8; i++) {
        pthread_create(&threads[i], NULL, write_thread_lines, NULL);
    }
    for (int i = 0; i < 8; i++) {
        pthread_join(threads[i], NULL);
    }
}

static void
test_threads_write_whole_lines(void)
{
    char *state = NULL;

    capture(write_from_threads);
    CU_ASSERT_EQUAL(count_lines(), 1600);
    for (char *line = strtok_r(captured_text, "\n", &state); line != NULL;
         line = strtok_r(NULL, "\n", &state)) {
        CU_ASSERT_EQUAL(strncmp(line, "time=", 5), 0);
        CU_ASSERT_PTR_NOT_NULL(
            strstr(line, "event=thread value=\"some words here\""));
    }
}

static size_t
read_available(int fd)
{
    size_t length = 0;
    ssize_t count;

    while (length + 1 < sizeof(captured_text) &&
           (count = read(fd, captured_text + length,
                         sizeof(captured_text) - 1 - length)) > 0) {
        length += (size_t)count;
    }
    captured_text[length] = '\0';
    return length;
}

static void
test_stalled_reader_does_not_block(void)
{
    int saved_fd = dup(STDOUT_FILENO);
    int fds[2];
    size_t read_bytes;

    CU_ASSERT_EQUAL_FATAL(pipe(fds), 0);
    fflush(stdout);
    dup2(fds[1], STDOUT_FILENO);
    CU_ASSERT_EQUAL(FvLog_OpenBuffered(Fv_LOG_INFO, "host-a"), 0);
    for (int i = 0; i < 20000; i++) {
        FvLog_Event(Fv_LOG_INFO, "many", "number=%d", i);
    }
    fcntl(fds[0], F_SETFL, O_NONBLOCK);
    read_bytes = read_available(fds[0]);
    for (int i = 0; i < 20; i++) {
        FvLog_Flush();
        read_bytes += read_available(fds[0]);
        if (strstr(captured_text, "event=log_lines_dropped") != NULL) {
            break;
        }
    }
    FvLog_Close();
    dup2(saved_fd, STDOUT_FILENO);
    close(saved_fd);
    close(fds[0]);
    close(fds[1]);
    CU_ASSERT(read_bytes > 0);
    CU_ASSERT_PTR_NOT_NULL(
        strstr(captured_text, "event=log_lines_dropped lines="));
}

#define SLOW_READER_LINES 3000 /* more than a pipe holds */

static void *
read_slowly(void *context)
{
    const int *fd = context;
    size_t length = 0;
    ssize_t count;

    usleep(200000);
    while ((count = read(*fd, captured_text + length, 4096)) > 0) {
        length += (size_t)count;
        usleep(1000);
    }
    captured_text[length] = '\0';
    return NULL;
}

/* Guards against the last lines of a process being lost with the rest of its
 * buffer. */
static void
test_last_lines_reach_a_slow_reader(void)
{
    int saved_fd = dup(STDOUT_FILENO);
    pthread_t reader;
    int fds[2];

    CU_ASSERT_EQUAL_FATAL(pipe(fds), 0);
    fflush(stdout);
    dup2(fds[1], STDOUT_FILENO);
    CU_ASSERT_EQUAL(FvLog_OpenBuffered(Fv_LOG_INFO, "host-a"), 0);
    pthread_create(&reader, NULL, read_slowly, &fds[0]);
    for (int i = 0; i < SLOW_READER_LINES; i++) {
        FvLog_Event(Fv_LOG_INFO, "many", "number=%d", i);
    }
    FvLog_Event(Fv_LOG_WARN, "stopped", "after_ms=%d", 1);
    FvLog_Finish(5000);
    FvLog_Close();
    dup2(saved_fd, STDOUT_FILENO);
    close(saved_fd);
    close(fds[1]);
    pthread_join(reader, NULL);
    close(fds[0]);
    CU_ASSERT_EQUAL(count_lines(), SLOW_READER_LINES + 1);
    CU_ASSERT_PTR_NOT_NULL(strstr(captured_text, "event=stopped"));
}

/* Counts the writes of the buffered log, and those that exceed PIPE_BUF or end
 * within a line: a reader of records of limited size would split a line. */
static void
count_buffered_writes(int fd, uint32_t *writes, uint32_t *split_writes)
{
    ssize_t count;

    while ((count = read(fd, captured_text, sizeof(captured_text))) > 0) {
        *writes += 1;
        *split_writes += count > PIPE_BUF || captured_text[count - 1] != '\n';
    }
}

/* A leader under load logs hundreds of lines between two flushes, and its
 * reader takes each write as one record of limited size. */
static void
test_writes_hold_whole_lines(void)
{
    int saved_fd = dup(STDOUT_FILENO);
    uint32_t writes = 0;
    uint32_t split_writes = 0;
    int fds[2];

    CU_ASSERT_EQUAL_FATAL(socketpair(AF_UNIX, SOCK_SEQPACKET, 0, fds), 0);
    fflush(stdout);
    dup2(fds[1], STDOUT_FILENO);
    fcntl(fds[0], F_SETFL, O_NONBLOCK);
    CU_ASSERT_EQUAL(FvLog_OpenBuffered(Fv_LOG_INFO, "host-a"), 0);
    for (int i = 0; i < 500; i++) {
        FvLog_Event(Fv_LOG_INFO, "start", "task=%016x.0.0.%d run=%d", i, i, i);
        if (i % 100 == 99) {
            FvLog_Flush();
            count_buffered_writes(fds[0], &writes, &split_writes);
        }
    }
    FvLog_Close();
    dup2(saved_fd, STDOUT_FILENO);
    close(saved_fd);
    close(fds[0]);
    close(fds[1]);
    CU_ASSERT(writes >= 5);
    CU_ASSERT_EQUAL(split_writes, 0);
}

/* An overloaded host logs at a growing rate to a reader that keeps up. The
 * volume is limited, warnings are still written, and dropped lines counted. */
static void
test_volume_is_limited(void)
{
    int saved_fd = dup(STDOUT_FILENO);
    int null_fd = open("/dev/null", O_WRONLY);
    int64_t started_ms = FvClock_NowMs();
    int fds[2];

    CU_ASSERT_EQUAL_FATAL(pipe(fds), 0);
    fflush(stdout);
    dup2(null_fd, STDOUT_FILENO);
    CU_ASSERT_EQUAL(FvLog_OpenBuffered(Fv_LOG_INFO, "host-a"), 0);
    for (int i = 0; i < 60000 && FvClock_NowMs() - started_ms < 500; i++) {
        FvLog_Event(Fv_LOG_INFO, "many", "number=%d", i);
    }
    dup2(fds[1], STDOUT_FILENO);
    fcntl(fds[0], F_SETFL, O_NONBLOCK);
    FvLog_Event(Fv_LOG_WARN, "store_lost", NULL);
    FvLog_Flush();
    read_available(fds[0]);
    FvLog_Flush();
    FvLog_Flush();
    FvLog_Close();
    dup2(saved_fd, STDOUT_FILENO);
    CU_ASSERT_PTR_NOT_NULL(strstr(captured_text, "event=store_lost"));
    read_available(fds[0]);
    CU_ASSERT_PTR_NOT_NULL(
        strstr(captured_text, "event=log_lines_dropped lines="));
    close(saved_fd);
    close(null_fd);
    close(fds[0]);
    close(fds[1]);
}

/* Guards against a line for each cancellation of a flood at level info, and
 * against silence in the second after it. */
static void
test_quota_begins_anew_each_second(void)
{
    fv_log_quota_t quota = {0};
    uint32_t lines = 0;

    for (int i = 0; i < 1000; i++) {
        lines += FvLog_LevelWithin(&quota, 50, 7100 + i / 2) == Fv_LOG_INFO;
    }
    CU_ASSERT_EQUAL(lines, 50);
    CU_ASSERT_EQUAL(FvLog_LevelWithin(&quota, 50, 8000), Fv_LOG_INFO);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a value adds a line or a key=value pair", test_values_are_escaped},
        {"a long value overflows the line", test_long_value_is_truncated},
        {"lines of concurrent threads are interleaved",
         test_threads_write_whole_lines},
        {"a stalled reader of the log blocks the process",
         test_stalled_reader_does_not_block},
        {"the last lines of a process are lost",
         test_last_lines_reach_a_slow_reader},
        {"a burst of lines is split within a line",
         test_writes_hold_whole_lines},
        {"an overloaded host logs without a limit", test_volume_is_limited},
        {"a flood of cancellations is logged in full",
         test_quota_begins_anew_each_second},
    };

    return Fv_RUN_SUITE("log", cases);
}

/*
 * A value must not be able to end a log line or to add pairs to it.
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

static char text[1024 * 1024];

/* Runs a function with standard error redirected and keeps what it wrote. */
static const char *
capture(void (*run)(void))
{
    FILE *file = tmpfile();
    int saved = dup(STDERR_FILENO);
    size_t length;

    CU_ASSERT_PTR_NOT_NULL_FATAL(file);
    dup2(fileno(file), STDERR_FILENO);
    FvLog_Open(Fv_LOG_INFO, "host-a");
    run();
    FvLog_Close();
    dup2(saved, STDERR_FILENO);
    close(saved);
    rewind(file);
    length = fread(text, 1, sizeof(text) - 1, file);
    text[length] = '\0';
    fclose(file);
    return text;
}

static void
expect(const char *line)
{
    bool found = strstr(text, line) != NULL;

    CU_ASSERT_TRUE(found);
    if (!found) {
        printf("\n  missing: %s  in: %s", line, text);
    }
}

static int
count_lines(void)
{
    int lines = 0;

    for (const char *at = text; *at != '\0'; at++) {
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
test_escaping(void)
{
    capture(write_values);
    expect("level=info host=host-a event=plain key=k-1 count=3\n");
    expect("level=warn host=host-a event=spaces reason=\"no such host\"\n");
    expect("event=injected reason=\"x\\ntime=now level=info member=m2\" "
           "member=m1\n");
    expect("event=control value=\"a\\x1b[2J\\x7f\\\"\\\\\"\n");
    expect("event=separator value=\"a\\x1fother=1\" next=2\n");
    expect("event=empty value=\"\"\n");
    expect("event=none\n");
    CU_ASSERT_PTR_NULL(strstr(text, "hidden"));
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
test_long_value(void)
{
    capture(write_long_value);
    expect(" truncated=true\n");
    CU_ASSERT_EQUAL(count_lines(), 1);
}

static void *
write_many(void *context)
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
        pthread_create(&threads[i], NULL, write_many, NULL);
    }
    for (int i = 0; i < 8; i++) {
        pthread_join(threads[i], NULL);
    }
}

static void
test_threads(void)
{
    char *state = NULL;

    capture(write_from_threads);
    CU_ASSERT_EQUAL(count_lines(), 1600);
    for (char *line = strtok_r(text, "\n", &state); line != NULL;
         line = strtok_r(NULL, "\n", &state)) {
        CU_ASSERT_EQUAL(strncmp(line, "time=", 5), 0);
        CU_ASSERT_PTR_NOT_NULL(
            strstr(line, "event=thread value=\"some words here\""));
    }
}

static size_t
drain_pipe(int fd)
{
    size_t length = 0;
    ssize_t count;

    while (length + 1 < sizeof(text) &&
           (count = read(fd, text + length, sizeof(text) - 1 - length)) > 0) {
        length += (size_t)count;
    }
    text[length] = '\0';
    return length;
}

static void
test_reader_that_stands_still(void)
{
    int saved = dup(STDOUT_FILENO);
    int ends[2];
    size_t before;

    CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
    fflush(stdout);
    dup2(ends[1], STDOUT_FILENO);
    CU_ASSERT_EQUAL(FvLog_OpenBuffered(Fv_LOG_INFO, "host-a"), 0);
    for (int i = 0; i < 20000; i++) {
        FvLog_Event(Fv_LOG_INFO, "many", "number=%d", i);
    }
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    before = drain_pipe(ends[0]);
    for (int i = 0; i < 20; i++) {
        FvLog_Flush();
        before += drain_pipe(ends[0]);
        if (strstr(text, "event=log_lines_dropped") != NULL) {
            break;
        }
    }
    FvLog_Close();
    dup2(saved, STDOUT_FILENO);
    close(saved);
    close(ends[0]);
    close(ends[1]);
    CU_ASSERT(before > 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "event=log_lines_dropped lines="));
}

/* Counts the writes of the buffered log, and those that would be torn by a
 * reader which takes no more than a pipe takes at once. */
static void
count_writes(int fd, uint32_t *writes, uint32_t *torn)
{
    ssize_t count;

    while ((count = read(fd, text, sizeof(text))) > 0) {
        *writes += 1;
        *torn += count > PIPE_BUF || text[count - 1] != '\n';
    }
}

/* Pattern: a leader under load logs hundreds of lines between two flushes, and
 * its reader takes each write as one piece of limited size. */
static void
test_burst_of_lines_is_not_torn(void)
{
    int saved = dup(STDOUT_FILENO);
    uint32_t writes = 0;
    uint32_t torn = 0;
    int ends[2];

    CU_ASSERT_EQUAL_FATAL(socketpair(AF_UNIX, SOCK_SEQPACKET, 0, ends), 0);
    fflush(stdout);
    dup2(ends[1], STDOUT_FILENO);
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    CU_ASSERT_EQUAL(FvLog_OpenBuffered(Fv_LOG_INFO, "host-a"), 0);
    for (int i = 0; i < 500; i++) {
        FvLog_Event(Fv_LOG_INFO, "start", "task=%016x.0.0.%d run=%d", i, i, i);
        if (i % 100 == 99) {
            FvLog_Flush();
            count_writes(ends[0], &writes, &torn);
        }
    }
    FvLog_Close();
    dup2(saved, STDOUT_FILENO);
    close(saved);
    close(ends[0]);
    close(ends[1]);
    CU_ASSERT(writes >= 5);
    CU_ASSERT_EQUAL(torn, 0);
}

/* Pattern: an overloaded host writes ever more lines to a reader that keeps
 * up; the volume stays bounded, warnings still pass, and the rest is counted.
 */
static void
test_volume_is_bounded(void)
{
    int saved = dup(STDOUT_FILENO);
    int null = open("/dev/null", O_WRONLY);
    int64_t began_ms = FvClock_NowMs();
    int ends[2];

    CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
    fflush(stdout);
    dup2(null, STDOUT_FILENO);
    CU_ASSERT_EQUAL(FvLog_OpenBuffered(Fv_LOG_INFO, "host-a"), 0);
    for (int i = 0; i < 60000 && FvClock_NowMs() - began_ms < 500; i++) {
        FvLog_Event(Fv_LOG_INFO, "many", "number=%d", i);
    }
    dup2(ends[1], STDOUT_FILENO);
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    FvLog_Event(Fv_LOG_WARN, "store_lost", NULL);
    FvLog_Flush();
    drain_pipe(ends[0]);
    FvLog_Flush();
    FvLog_Flush();
    FvLog_Close();
    dup2(saved, STDOUT_FILENO);
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "event=store_lost"));
    drain_pipe(ends[0]);
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "event=log_lines_dropped lines="));
    close(saved);
    close(null);
    close(ends[0]);
    close(ends[1]);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a value adds a line or a pair", test_escaping},
        {"a long value overruns the line", test_long_value},
        {"lines of several threads are mixed", test_threads},
        {"a reader of the log that stands still stops the process",
         test_reader_that_stands_still},
        {"a burst of lines is torn", test_burst_of_lines_is_not_torn},
        {"an overloaded host writes without bound", test_volume_is_bounded},
    };

    return Fv_RUN_SUITE("log", cases);
}

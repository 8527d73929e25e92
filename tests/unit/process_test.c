/*
 * The harness's processes: starting and ending them.
 */

#include "process.h"
#include "suite.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#define STARTS 200
#define ENDS 20

/* A signal that arrives before the child runs its program must not run the
 * handler by which the test itself ends its children. */
static void
test_signal_at_start(void)
{
    static const char *const sleep_argv[] = {"/bin/sleep", "60", NULL};
    process_t bystander;
    process_t process;
    int starts = 0;

    CU_ASSERT_TRUE_FATAL(FvProcess_Start(&bystander, "/dev/null", sleep_argv));
    while (starts < STARTS && !FvProcess_HasExited(&bystander)) {
        CU_ASSERT_TRUE_FATAL(
            FvProcess_Start(&process, "/dev/null", sleep_argv));
        CU_ASSERT_TRUE(FvProcess_Signal(&process, SIGTERM));
        CU_ASSERT_TRUE(FvProcess_Wait(&process, 10000));
        starts++;
    }
    CU_ASSERT_FALSE(FvProcess_HasExited(&bystander));
    FvProcess_Kill(&bystander);
}

/* Starts a child in another process, which ends by itself or by a signal. */
static pid_t
child_of_ended_process(int end_signal)
{
    static const char *const sleep_argv[] = {"/bin/sleep", "60", NULL};
    process_t process;
    pid_t child = 0;
    pid_t pid;
    int ends[2];

    CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
    fflush(stdout);
    pid = fork();
    if (pid == 0) {
        if (FvProcess_Start(&process, "/dev/null", sleep_argv) &&
            write(ends[1], &process.pid, sizeof(process.pid)) < 0) {
            _exit(1);
        }
        raise(end_signal);
        exit(0);
    }
    CU_ASSERT_FATAL(pid > 0);
    CU_ASSERT_EQUAL(read(ends[0], &child, sizeof(child)),
                    (ssize_t)sizeof(child));
    CU_ASSERT_EQUAL(waitpid(pid, NULL, 0), pid);
    close(ends[0]);
    close(ends[1]);
    return child;
}

/* The next test may use the ports as soon as the process has ended. */
static void
test_children_end_first(void)
{
    static const int end_signals[] = {0, SIGABRT, SIGTERM};
    int alive = 0;

    for (int i = 0; i < ENDS; i++) {
        for (size_t s = 0; s < sizeof(end_signals) / sizeof(int); s++) {
            pid_t child = child_of_ended_process(end_signals[s]);

            CU_ASSERT_FATAL(child > 0);
            alive += kill(child, 0) == 0 || errno != ESRCH;
        }
    }
    CU_ASSERT_EQUAL(alive, 0);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a process that is terminated at its start kills the others",
         test_signal_at_start},
        {"a process ends before its children have released their ports",
         test_children_end_first},
    };

    return Fv_RUN_SUITE("process", cases);
}

/*
 * The harness's processes: starting and ending them.
 */

#include "process.h"
#include "suite.h"

#include <signal.h>

#define STARTS 200

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

int
main(void)
{
    static const test_case_t cases[] = {
        {"a process that is terminated at its start kills the others",
         test_signal_at_start},
    };

    return Fv_RUN_SUITE("process", cases);
}

/*
 * Threads of tests.
 */

#include "thread.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/**
 * FvThread_Start - start a thread
 * @thread: set to the thread
 * @run: its function
 * @context: passed to the function
 *
 * Ends the test with a message when no thread can be started, because the
 * test's checks are not valid without it. The usual cause is the machine's
 * limit of threads, which all programs on it share.
 */
void
FvThread_Start(pthread_t *thread, void *(*run)(void *context), void *context)
{
    int error = pthread_create(thread, NULL, run, context);

    if (error != 0) {
        fprintf(stderr, "cannot start a thread: %s\n", strerror(error));
        abort();
    }
}

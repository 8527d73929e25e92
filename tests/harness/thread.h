/*
 * Threads of tests.
 */

#ifndef THREAD_H
#define THREAD_H

#include <pthread.h>

void FvThread_Start(pthread_t *thread, void *(*run)(void *context),
                    void *context);

#endif

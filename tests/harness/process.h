/*
 * Child processes of a test. Signals are sent only to processes started here,
 * and all of them are killed when the test program ends, for whatever reason.
 */

#ifndef PROCESS_H
#define PROCESS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

typedef struct process {
    pid_t pid; /* 0: not running */
    int exit_status;
    char log_path[512];
} process_t;

bool FvProcess_Start(process_t *process, const char *log_path,
                     const char *const *argv);
bool FvProcess_Signal(const process_t *process, int signal);
bool FvProcess_HasExited(process_t *process);
bool FvProcess_Wait(process_t *process, int64_t timeout_ms);
void FvProcess_Kill(process_t *process);
bool FvProcess_Terminate(process_t *process, int64_t timeout_ms);

#endif

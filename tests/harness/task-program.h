/*
 * The program of a test task: a payload that tells fake-worker how long the
 * task runs, how it ends, what it answers and which resources it uses.
 */

#ifndef TASK_PROGRAM_H
#define TASK_PROGRAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct program {
    int64_t run_ms; /* negative: until the task is stopped */
    bool fail;
    int64_t answer_bytes; /* of a pseudo-random answer; -1: use answer */
    uint64_t seed;        /* of the pseudo-random answer */
    uint8_t *answer;
    size_t answer_length;
    int64_t use_cpu_millis;   /* -1: the task's declared size */
    int64_t use_memory_bytes; /* -1: the task's declared size */
} task_program_t;

void FvTaskProgram_Parse(task_program_t *program, const uint8_t *payload,
                         size_t length);
void FvTaskProgram_Copy(task_program_t *copy, const task_program_t *program);
void FvTaskProgram_Free(task_program_t *program);
uint8_t *FvTaskProgram_MakeAnswer(const task_program_t *program,
                                  size_t *length);
void FvTaskProgram_FillRandom(uint64_t seed, uint8_t *target, size_t length);

#endif

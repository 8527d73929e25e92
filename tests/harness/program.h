/*
 * The program of a test task: its payload tells the worker double how long to
 * run, what to answer and how much to use.
 */

#ifndef PROGRAM_H
#define PROGRAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct program {
    int64_t run_ms; /* negative: runs until it is stopped */
    bool fail;
    int64_t answer_bytes; /* pseudo-random answer; -1: none */
    uint64_t seed;
    uint8_t *answer;
    size_t answer_length;
    int64_t use_cpu_millis; /* -1: as declared */
    int64_t use_memory_bytes;
} program_t;

void FvProgram_Parse(program_t *program, const uint8_t *payload,
                     size_t length);
void FvProgram_Copy(program_t *copy, const program_t *program);
void FvProgram_Free(program_t *program);
uint8_t *FvProgram_MakeAnswer(const program_t *program, size_t *length);
void FvProgram_FillRandom(uint64_t seed, uint8_t *target, size_t length);

#endif

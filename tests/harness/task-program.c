/*
 * The program of a test task, read from its payload.
 */

#include "task-program.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define TASK_PROGRAM_DEFAULT_RUN_MS 1
/* Above fireflyvalve's limit of 16 MiB, so that tests can exceed it. */
#define TASK_PROGRAM_ANSWER_MAX_BYTES (64 * 1024 * 1024)

static const char *const known_fields[] = {
    "run_ms", "answer",         "answer_bytes",    "seed",
    "fail",   "use_cpu_millis", "use_memory_bytes"};

static bool
is_program(const json_t *object)
{
    for (size_t i = 0; i < sizeof(known_fields) / sizeof(known_fields[0]);
         i++) {
        if (json_object_get(object, known_fields[i]) != NULL) {
            return true;
        }
    }
    return false;
}

static int64_t
read_int(const json_t *object, const char *name, int64_t fallback)
{
    const json_t *field = json_object_get(object, name);

    return json_is_integer(field) ? json_integer_value(field) : fallback;
}

static void
set_answer(task_program_t *program, const void *answer, size_t length)
{
    program->answer = malloc(length + 1);
    if (program->answer == NULL) {
        abort();
    }
    if (length > 0) {
        memcpy(program->answer, answer, length);
    }
    program->answer_length = length;
}

static void
read_program(task_program_t *program, const json_t *object)
{
    const json_t *answer = json_object_get(object, "answer");

    program->run_ms = read_int(object, "run_ms", TASK_PROGRAM_DEFAULT_RUN_MS);
    program->fail = json_is_true(json_object_get(object, "fail"));
    program->answer_bytes = read_int(object, "answer_bytes", -1);
    program->seed = (uint64_t)read_int(object, "seed", 0);
    program->use_cpu_millis = read_int(object, "use_cpu_millis", -1);
    program->use_memory_bytes = read_int(object, "use_memory_bytes", -1);
    if (program->answer_bytes > TASK_PROGRAM_ANSWER_MAX_BYTES) {
        program->answer_bytes = TASK_PROGRAM_ANSWER_MAX_BYTES;
    }
    if (json_is_string(answer)) {
        set_answer(program, json_string_value(answer),
                   json_string_length(answer));
    }
}

/**
 * FvTaskProgram_Parse - read a program from a payload
 * @program: filled in; freed with FvTaskProgram_Free()
 * @payload: a JSON object with at least one known field; any other payload
 *           becomes the answer of a task that runs 1 ms
 * @length: length of @payload
 */
void
FvTaskProgram_Parse(task_program_t *program, const uint8_t *payload,
                    size_t length)
{
    json_t *object = json_loadb((const char *)payload, length, 0, NULL);

    *program = (task_program_t){.run_ms = TASK_PROGRAM_DEFAULT_RUN_MS,
                                .answer_bytes = -1,
                                .use_cpu_millis = -1,
                                .use_memory_bytes = -1};
    if (is_program(object)) {
        read_program(program, object);
    }
    else {
        set_answer(program, payload, length);
    }
    json_decref(object);
}

/**
 * FvTaskProgram_Copy - duplicate a program
 * @copy: filled in; freed with FvTaskProgram_Free()
 * @program: the original
 */
void
FvTaskProgram_Copy(task_program_t *copy, const task_program_t *program)
{
    *copy = *program;
    copy->answer = NULL;
    if (program->answer != NULL) {
        set_answer(copy, program->answer, program->answer_length);
    }
}

/**
 * FvTaskProgram_Free - free a program's answer
 * @program: the program
 */
void
FvTaskProgram_Free(task_program_t *program)
{
    free(program->answer);
    program->answer = NULL;
}

/**
 * FvTaskProgram_MakeAnswer - build the answer of a task that succeeded
 * @program: the task's program
 * @length: set to the length of the answer
 *
 * Return: the answer; freed by the caller.
 */
uint8_t *
FvTaskProgram_MakeAnswer(const task_program_t *program, size_t *length)
{
    bool random = program->answer_bytes >= 0;
    uint8_t *answer;

    *length = random ? (size_t)program->answer_bytes : program->answer_length;
    answer = malloc(*length + 1);
    if (answer == NULL) {
        abort();
    }
    if (random) {
        FvTaskProgram_FillRandom(program->seed, answer, *length);
    }
    else if (*length > 0) {
        memcpy(answer, program->answer, *length);
    }
    return answer;
}

static uint64_t
next_random(uint64_t *state)
{
    uint64_t mixed = *state += UINT64_C(0x9e3779b97f4a7c15);

    mixed = (mixed ^ (mixed >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    mixed = (mixed ^ (mixed >> 27)) * UINT64_C(0x94d049bb133111eb);
    return mixed ^ (mixed >> 31);
}

/**
 * FvTaskProgram_FillRandom - generate reproducible pseudo-random bytes
 * (splitmix64)
 * @seed: the program's seed
 * @target: filled in
 * @length: number of bytes
 */
void
FvTaskProgram_FillRandom(uint64_t seed, uint8_t *target, size_t length)
{
    uint64_t state = seed;

    for (size_t i = 0; i < length; i += sizeof(uint64_t)) {
        uint64_t word = next_random(&state);
        size_t left = length - i;

        memcpy(target + i, &word, left < sizeof(word) ? left : sizeof(word));
    }
}

/*
 * Runs the CUnit suite of a test program.
 */

#ifndef SUITE_H
#define SUITE_H

#include <CUnit/Basic.h>

/* The name states the failure that the test guards against. */
typedef struct test_case {
    const char *name;
    CU_TestFunc run;
} test_case_t;

int FvSuite_Run(const char *name, const test_case_t *cases, size_t count);

#define Fv_RUN_SUITE(NAME, CASES)                                             \
    FvSuite_Run(NAME, CASES, sizeof(CASES) / sizeof((CASES)[0]))

#endif

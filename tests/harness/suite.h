/*
 * Runs one CUnit suite per test program and turns its result into an exit
 * code.
 */

#ifndef SUITE_H
#define SUITE_H

#include <CUnit/Basic.h>

/* One test: a name that states the failure it guards against. */
typedef struct test_case {
    const char *name;
    CU_TestFunc run;
} test_case_t;

int FvSuite_Run(const char *name, const test_case_t *cases, size_t count);

#define Fv_RUN_SUITE(NAME, CASES)                                             \
    FvSuite_Run(NAME, CASES, sizeof(CASES) / sizeof((CASES)[0]))

#endif

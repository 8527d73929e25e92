/*
 * Runs the CUnit suite of a test program.
 */

#include "suite.h"

/**
 * FvSuite_Run - run a suite
 * @name: name of the suite
 * @cases: the test cases
 * @count: number of test cases
 *
 * Return: exit code of the process; 0 only when there are cases, all of them
 * ran and none failed.
 */
int
FvSuite_Run(const char *name, const test_case_t *cases, size_t count)
{
    CU_pSuite suite;
    unsigned failures;
    unsigned run;

    if (CU_initialize_registry() != CUE_SUCCESS) {
        return 2;
    }
    suite = CU_add_suite(name, NULL, NULL);
    for (size_t i = 0; suite != NULL && i < count; i++) {
        CU_add_test(suite, cases[i].name, cases[i].run);
    }
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    run = CU_get_number_of_tests_run();
    CU_cleanup_registry();
    return failures == 0 && run == count && count > 0 ? 0 : 1;
}

/*
 * CUnit start-up and result handling shared by all test programs.
 */

#include "suite.h"

/**
 * FvSuite_Run - run the cases of one program
 * @name: the suite's name
 * @cases: the test cases
 * @count: how many there are
 *
 * Return: the process exit code; 0 only when cases ran and none failed.
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

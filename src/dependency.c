/*
 * Whether what the process depends on answers: a service or another host.
 */

#include "fireflyvalve.h"

/**
 * FvDependency_Note - note that a dependency answered or did not
 * @dependency: its state; zero before the first call
 * @answered: whether it did
 *
 * The caller logs a change, so that a dependency that does not answer leaves
 * one line and not one for each attempt. The first result is a change.
 *
 * Return: true when the state has changed.
 */
bool
FvDependency_Note(fv_dependency_t *dependency, bool answered)
{
    fv_dependency_t state =
        answered ? Fv_DEPENDENCY_ANSWERS : Fv_DEPENDENCY_LOST;

    if (*dependency == state) {
        return false;
    }
    *dependency = state;
    if (!answered) {
        FvMetrics_Add(Fv_COUNTER_DEPENDENCIES_LOST, 1);
    }
    return true;
}

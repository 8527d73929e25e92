/*
 * Exit code of a command for a job document.
 */

#include "command.h"

#include <string.h>

/**
 * FvJobResult_IsFinal - whether a job has ended
 * @job: the job document
 *
 * Return: true when its state is "ended".
 */
bool
FvJobResult_IsFinal(const json_t *job)
{
    const char *state = FvJson_String(job, "state");

    return state != NULL && strcmp(state, "ended") == 0;
}

/**
 * FvJobResult_ExitCode - map a job to an exit code
 * @job: the job document
 *
 * Return: the code of its outcome; Fv_EXIT_PENDING when it has not ended.
 */
int
FvJobResult_ExitCode(const json_t *job)
{
    static const int codes[] = {
        [Fv_OUTCOME_NONE] = Fv_EXIT_PENDING,
        [Fv_OUTCOME_DONE] = Fv_EXIT_OK,
        [Fv_OUTCOME_FAILED] = Fv_EXIT_FAILED,
        [Fv_OUTCOME_CANCELLED] = Fv_EXIT_CANCELLED,
        [Fv_OUTCOME_NOT_RUN] = Fv_EXIT_NOT_RUN,
        [Fv_OUTCOME_UNKNOWN] = Fv_EXIT_UNKNOWN,
    };
    const char *name = FvJson_String(job, "outcome");
    fv_outcome_t outcome;

    if (!FvJobResult_IsFinal(job)) {
        return Fv_EXIT_PENDING;
    }
    if (name == NULL || !FvOutcome_Parse(name, &outcome)) {
        return Fv_EXIT_UNKNOWN;
    }
    return codes[outcome];
}

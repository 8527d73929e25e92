/*
 * Names of the job classes.
 */

#include "fireflyvalve.h"

#include <string.h>

static const char *const class_names[Fv_CLASS_COUNT] = {
    [Fv_CLASS_INTERACTIVE] = "interactive",
    [Fv_CLASS_SERVICE] = "service",
    [Fv_CLASS_GANG] = "gang",
    [Fv_CLASS_DEADLINE] = "deadline",
};

/**
 * FvClass_Name - name of a class in JSON and metrics
 * @class_id: the class
 *
 * Return: a static string.
 */
const char *
FvClass_Name(fv_class_t class_id)
{
    return (size_t)class_id < Fv_CLASS_COUNT ? class_names[class_id]
                                             : "unknown";
}

/**
 * FvClass_Parse - parse the name of a class
 * @name: its name
 * @class_id: set when the name is known
 *
 * Return: false when the name is not known.
 */
bool
FvClass_Parse(const char *name, fv_class_t *class_id)
{
    for (size_t i = 0; name != NULL && i < Fv_CLASS_COUNT; i++) {
        if (strcmp(name, class_names[i]) == 0) {
            *class_id = (fv_class_t)i;
            return true;
        }
    }
    return false;
}

/*
 * Paths of temporary files and directories of tests.
 */

#include "temp-path.h"

#include <stdio.h>
#include <stdlib.h>

/**
 * FvTempPath_Template - build a template for mkstemp() and mkdtemp()
 * @path: set to a template in TMPDIR, or in the system's directory for
 *        temporary files when that is not set
 * @size: size of @path
 * @name: part of the file name that describes the file's purpose
 */
void
FvTempPath_Template(char *path, size_t size, const char *name)
{
    const char *parent = getenv("TMPDIR");

    snprintf(path, size, "%s/fireflyvalve-%s.XXXXXX",
             parent != NULL ? parent : P_tmpdir, name);
}

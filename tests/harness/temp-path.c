/*
 * Where tests put files of their own.
 */

#include "temp-path.h"

#include <stdio.h>
#include <stdlib.h>

/**
 * FvTempPath_Template - template of a path for mkstemp and mkdtemp
 * @path: receives it
 * @size: its size
 * @name: what the file is for
 */
void
FvTempPath_Template(char *path, size_t size, const char *name)
{
    const char *parent = getenv("TMPDIR");

    snprintf(path, size, "%s/fireflyvalve-%s.XXXXXX",
             parent != NULL ? parent : P_tmpdir, name);
}

/*
 * Entry point: finds the command in the command table and runs it.
 */

#include "fireflyvalve.h"

#include <stdio.h>

int
main(void)
{
    printf("fireflyvalve %s\n", Fv_VERSION);
    return 0;
}

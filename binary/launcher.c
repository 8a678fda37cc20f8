/* First step of the one binary: unpacks the program once, then becomes it by exec.
 *
 * It starts no process and leaves none behind: the process id stays the same.
 */

#define _GNU_SOURCE
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "folder.h"
#include "payload.h"
#include "report.h"

#define PROGRAM_NAME "wasabistage"
#define LIBRARIES_FOLDER "_internal"
#define LIBRARIES_VARIABLE "LD_LIBRARY_PATH"
#define LIST_FLAG "--unpacked"
#define REMOVE_FLAG "--remove-unpacked"

void fail(const char *format, ...)
{
    va_list values;
    va_start(values, format);
    fputs("wasabistage: ", stderr);
    vfprintf(stderr, format, values);
    fputc('\n', stderr);
    va_end(values);
    exit(1);
}

static int list_unpacked(void)
{
    struct folder folder;
    folder_open(&folder);
    folder_print(&folder);
    return 0;
}

static int remove_unpacked(void)
{
    struct folder folder;
    folder_open(&folder);
    int in_use = folder_remove_unused(&folder, NULL);
    if (in_use > 0)
        fail("%d unpacked under %s still in use; stop the processes that run from "
             "there and try again", in_use, folder.path);
    return 0;
}

/* The program's own loader needs zlib, which an instance may lack: let it find the
 * one in the payload before any other. */
static void offer_libraries(const char *version)
{
    const char *before = getenv(LIBRARIES_VARIABLE);
    char *value;
    int has_more = before != NULL && *before != '\0';
    if (asprintf(&value, "%s/" LIBRARIES_FOLDER "%s%s", version, has_more ? ":" : "",
                 has_more ? before : "") < 0 ||
        setenv(LIBRARIES_VARIABLE, value, 1) != 0)
        fail("no memory to start; free some and start again");
    free(value);
}

static void become_program(char **arguments)
{
    struct payload payload;
    struct folder folder;
    char version[PATH_MAX + KEY_LENGTH + 2];
    char program[sizeof version + sizeof PROGRAM_NAME + 1];
    payload_open(&payload);
    mode_t mask = umask(0077);
    folder_open(&folder);
    folder_provide(&folder, &payload);
    folder_unlock(&folder);
    umask(mask);
    snprintf(version, sizeof version, "%s/%s", folder.path, payload.key);
    snprintf(program, sizeof program, "%s/" PROGRAM_NAME, version);
    offer_libraries(version);
    execv(program, arguments);
    fail("cannot run %s: %s; set WASABISTAGE_UNPACK_DIR to a folder from which "
         "programs may run", program, strerror(errno));
}

int main(int count, char **arguments)
{
    if (count == 2 && strcmp(arguments[1], LIST_FLAG) == 0)
        return list_unpacked();
    if (count == 2 && strcmp(arguments[1], REMOVE_FLAG) == 0)
        return remove_unpacked();
    become_program(arguments);
}

/* How the launcher reports what it can not mend. */

#ifndef WASABISTAGE_REPORT_H
#define WASABISTAGE_REPORT_H

/* Print "wasabistage: ..." to stderr and end with code 1.
 * The message says what is wrong, then, after a semicolon, the remedy. */
void fail(const char *format, ...) __attribute__((noreturn, format(printf, 1, 2)));

#endif

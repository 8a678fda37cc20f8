/* Reads the payload: two gzip streams (manifest, contents) and a footer.
 *
 * Footer: 8 bytes of magic, four little-endian 64-bit sizes (manifest packed,
 * manifest, contents packed, contents), 64 hex digits of key. The manifest has a line
 * for each item, "KIND SIZE PATH", for links "l 0 PATH<tab>TARGET"; folders stand
 * before what they hold. The contents are the files' bytes in the manifest's order.
 */

#define _GNU_SOURCE
#include "payload.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include <zlib.h>

#include "report.h"

#define MAGIC "WASABI1\n"
#define MAGIC_LENGTH 8
#define FOOTER_LENGTH (MAGIC_LENGTH + 4 * 8 + KEY_LENGTH)
#define CHUNK_BYTES 65536
#define MAX_MANIFEST_BYTES (16 << 20)
#define GZIP_WINDOW (15 + 16)

/* A gzip stream within the program's file. */
struct stream {
    int file;
    off_t at;
    uint64_t left;
    z_stream z;
    unsigned char in[CHUNK_BYTES];
};

static void fail_damaged(void)
{
    fail("this file is cut short or damaged; copy the binary again and compare its "
         "SHA-256 with the original's");
}

static void read_at(int file, void *buffer, size_t length, off_t at)
{
    unsigned char *to = buffer;
    while (length > 0) {
        ssize_t got = pread(file, to, length, at);
        if (got < 0 && errno == EINTR)
            continue;
        if (got <= 0)
            fail_damaged();
        to += got;
        at += got;
        length -= (size_t)got;
    }
}

static void stream_open(struct stream *stream, int file, off_t at, uint64_t length)
{
    memset(&stream->z, 0, sizeof stream->z);
    stream->file = file;
    stream->at = at;
    stream->left = length;
    if (inflateInit2(&stream->z, GZIP_WINDOW) != Z_OK)
        fail("no memory to unpack; free some and start again");
}

static void stream_fill(struct stream *stream)
{
    size_t length = stream->left < CHUNK_BYTES ? stream->left : CHUNK_BYTES;
    if (length == 0)
        fail_damaged();
    read_at(stream->file, stream->in, length, stream->at);
    stream->at += (off_t)length;
    stream->left -= length;
    stream->z.next_in = stream->in;
    stream->z.avail_in = (uInt)length;
}

static void stream_read(struct stream *stream, void *buffer, size_t length)
{
    stream->z.next_out = buffer;
    stream->z.avail_out = (uInt)length;
    while (stream->z.avail_out > 0) {
        if (stream->z.avail_in == 0)
            stream_fill(stream);
        int state = inflate(&stream->z, Z_NO_FLUSH);
        if (state == Z_STREAM_END && stream->z.avail_out == 0)
            return;
        if (state != Z_OK)
            fail_damaged();
    }
}

/* Read to the stream's end, where zlib compares its checksum and length. */
static void stream_close(struct stream *stream)
{
    unsigned char extra;
    int state = Z_OK;
    stream->z.next_out = &extra;
    stream->z.avail_out = 1;
    while (state == Z_OK && stream->z.avail_out == 1) {
        if (stream->z.avail_in == 0 && stream->left > 0)
            stream_fill(stream);
        state = inflate(&stream->z, Z_NO_FLUSH);
    }
    if (state != Z_STREAM_END || stream->z.avail_out != 1)
        fail_damaged();
    inflateEnd(&stream->z);
}

static uint64_t read_size(const unsigned char *bytes)
{
    uint64_t value = 0;
    for (int index = 7; index >= 0; index--)
        value = value << 8 | bytes[index];
    return value;
}

static void read_footer(struct payload *payload)
{
    unsigned char footer[FOOTER_LENGTH];
    struct stat info;
    if (fstat(payload->file, &info) != 0 || info.st_size < FOOTER_LENGTH)
        fail_damaged();
    uint64_t before = (uint64_t)info.st_size - FOOTER_LENGTH;
    read_at(payload->file, footer, FOOTER_LENGTH, (off_t)before);
    if (memcmp(footer, MAGIC, MAGIC_LENGTH) != 0)
        fail_damaged();
    payload->manifest_packed = read_size(footer + MAGIC_LENGTH);
    payload->manifest_size = read_size(footer + MAGIC_LENGTH + 8);
    payload->data_packed = read_size(footer + MAGIC_LENGTH + 16);
    payload->data_size = read_size(footer + MAGIC_LENGTH + 24);
    memcpy(payload->key, footer + MAGIC_LENGTH + 32, KEY_LENGTH);
    payload->key[KEY_LENGTH] = '\0';
    if (strspn(payload->key, "0123456789abcdef") != KEY_LENGTH)
        fail_damaged();
    if (payload->manifest_packed > before ||
        payload->data_packed > before - payload->manifest_packed ||
        payload->manifest_size > MAX_MANIFEST_BYTES)
        fail_damaged();
    payload->manifest_at =
        (off_t)(before - payload->data_packed - payload->manifest_packed);
}

static void parse_line(char *line, struct item *item)
{
    char *after;
    item->kind = line[0];
    item->size = strtoull(line + 2, &after, 10);
    item->path = after + 1;
    item->target = NULL;
    char *tab = strchr(after, '\t');
    if (tab != NULL) {
        *tab = '\0';
        item->target = tab + 1;
    }
    if (strchr("dfxl", item->kind) == NULL || *after != ' ' ||
        (item->kind == 'l') != (tab != NULL))
        fail_damaged();
}

static void parse_manifest(struct payload *payload, char *text)
{
    size_t lines = 0;
    for (char *at = text; *at != '\0'; at++)
        lines += *at == '\n';
    payload->items = calloc(lines + 1, sizeof *payload->items);
    if (payload->items == NULL)
        fail("no memory to unpack; free some and start again");
    char *rest = NULL;
    char *line = strtok_r(text, "\n", &rest);
    for (; line != NULL; line = strtok_r(NULL, "\n", &rest))
        parse_line(line, &payload->items[payload->count++]);
}

void payload_open(struct payload *payload)
{
    static struct stream stream;
    memset(payload, 0, sizeof *payload);
    payload->file = open("/proc/self/exe", O_RDONLY | O_CLOEXEC);
    if (payload->file < 0)
        fail("cannot read /proc/self/exe: %s; mount /proc and let this user read "
             "the binary", strerror(errno));
    read_footer(payload);
    char *text = calloc(payload->manifest_size + 1, 1);
    if (text == NULL)
        fail("no memory to unpack; free some and start again");
    stream_open(&stream, payload->file, payload->manifest_at, payload->manifest_packed);
    stream_read(&stream, text, payload->manifest_size);
    stream_close(&stream);
    parse_manifest(payload, text);
}

static int write_all(int file, const unsigned char *from, size_t length)
{
    while (length > 0) {
        ssize_t put = write(file, from, length);
        if (put < 0 && errno == EINTR)
            continue;
        if (put < 0)
            return -1;
        from += put;
        length -= (size_t)put;
    }
    return 0;
}

static int unpack_file(const struct item *item, int folder, struct stream *stream)
{
    unsigned char chunk[CHUNK_BYTES];
    int file = openat(folder, item->path,
                      O_WRONLY | O_CREAT | O_EXCL | O_NOFOLLOW | O_CLOEXEC,
                      item->kind == 'x' ? 0700 : 0600);
    if (file < 0)
        return -1;
    for (uint64_t left = item->size; left > 0;) {
        size_t length = left < CHUNK_BYTES ? left : CHUNK_BYTES;
        stream_read(stream, chunk, length);
        if (write_all(file, chunk, length) != 0) {
            int kept = errno;
            close(file);
            errno = kept;
            return -1;
        }
        left -= length;
    }
    return close(file);
}

static int unpack_item(const struct item *item, int folder, struct stream *stream)
{
    if (item->kind == 'd')
        return mkdirat(folder, item->path, 0700);
    if (item->kind == 'l')
        return symlinkat(item->target, folder, item->path);
    return unpack_file(item, folder, stream);
}

int payload_unpack(const struct payload *payload, int folder)
{
    static struct stream stream;
    stream_open(&stream, payload->file,
                payload->manifest_at + (off_t)payload->manifest_packed,
                payload->data_packed);
    for (size_t index = 0; index < payload->count; index++)
        if (unpack_item(&payload->items[index], folder, &stream) != 0)
            return -1;
    stream_close(&stream);
    return 0;
}

static int is_whole_link(const struct item *item, int folder)
{
    char target[4096];
    ssize_t length = readlinkat(folder, item->path, target, sizeof target);
    return length == (ssize_t)strlen(item->target) &&
           memcmp(target, item->target, (size_t)length) == 0;
}

static int is_whole(const struct item *item, int folder)
{
    struct stat info;
    if (fstatat(folder, item->path, &info, AT_SYMLINK_NOFOLLOW) != 0)
        return 0;
    if (info.st_uid != geteuid())
        return 0;
    if (item->kind == 'l')
        return S_ISLNK(info.st_mode) && is_whole_link(item, folder);
    if (item->kind == 'd')
        return S_ISDIR(info.st_mode);
    return S_ISREG(info.st_mode) && (uint64_t)info.st_size == item->size &&
           (info.st_mode & 0777) == (item->kind == 'x' ? 0700 : 0600);
}

int payload_is_whole(const struct payload *payload, int folder)
{
    for (size_t index = 0; index < payload->count; index++)
        if (!is_whole(&payload->items[index], folder))
            return 0;
    return 1;
}

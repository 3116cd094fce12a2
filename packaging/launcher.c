/*
 * Launcher: embeds the interpreter in a self-contained executable.
 *
 * The complete static libpython is linked into the program. Pure Python modules
 * are imported from the zip archive appended to the executable. The first of
 * them, boot.py, loads extension modules from memory by means of the built-in
 * module _launcher, which is defined below. No files are unpacked and no child
 * process is started: main() calls Py_RunMain() in the executed process.
 */
#define PY_SSIZE_T_CLEAN
#define _GNU_SOURCE
#include <Python.h>

#include <dlfcn.h>
#include <fcntl.h>
#include <limits.h>
#include <sys/mman.h>
#include <unistd.h>

/* Since Linux 6.3; older kernels reject unknown flags with EINVAL. */
#ifndef MFD_EXEC
#define MFD_EXEC 0x0010U
#endif

#define EXECUTABLE_LINK "/proc/self/exe"
#define ARCHIVE_PATH L"/proc/self/exe"
#define RUN_COMMAND L"import boot; boot.run()"

static int
create_memory_file(const char *name)
{
    unsigned int flags = MFD_CLOEXEC | MFD_ALLOW_SEALING;
    int fd = memfd_create(name, flags | MFD_EXEC);
    if (fd < 0 && errno == EINVAL) {
        fd = memfd_create(name, flags);
    }
    return fd;
}

static int
write_all(int fd, const char *data, Py_ssize_t size)
{
    while (size > 0) {
        ssize_t written = write(fd, data, (size_t)size);
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written < 0) {
            return -1;
        }
        data += written;
        size -= written;
    }
    return 0;
}

PyDoc_STRVAR(memory_file_doc,
"memory_file(name, data)\n--\n\n"
"Return the descriptor of a sealed memory-backed file that contains the data.");

static PyObject *
memory_file(PyObject *module, PyObject *args)
{
    const char *name;
    Py_buffer data;
    if (!PyArg_ParseTuple(args, "sy*:memory_file", &name, &data)) {
        return NULL;
    }
    int fd = create_memory_file(name);
    int failed = fd < 0 || write_all(fd, data.buf, data.len) < 0;
    PyBuffer_Release(&data);
    /* The seals prevent any process, this one included, from changing the
       mapped code. */
    int seals = F_SEAL_SEAL | F_SEAL_SHRINK | F_SEAL_GROW | F_SEAL_WRITE;
    if (failed || fcntl(fd, F_ADD_SEALS, seals) < 0) {
        PyErr_SetFromErrno(PyExc_OSError);
        if (fd >= 0) {
            close(fd);
        }
        return NULL;
    }
    return PyLong_FromLong(fd);
}

PyDoc_STRVAR(load_library_doc,
"load_library(path)\n--\n\n"
"Load a shared library; libraries loaded later find it by its SONAME.");

static PyObject *
load_library(PyObject *module, PyObject *args)
{
    const char *path;
    if (!PyArg_ParseTuple(args, "s:load_library", &path)) {
        return NULL;
    }
    if (dlopen(path, RTLD_NOW | RTLD_LOCAL) == NULL) {
        PyErr_SetString(PyExc_ImportError, dlerror());
        return NULL;
    }
    Py_RETURN_NONE;
}

static PyMethodDef launcher_methods[] = {
    {"memory_file", memory_file, METH_VARARGS, memory_file_doc},
    {"load_library", load_library, METH_VARARGS, load_library_doc},
    {NULL, NULL, 0, NULL},
};

static struct PyModuleDef launcher_module = {
    PyModuleDef_HEAD_INIT,
    .m_name = "_launcher",
    .m_doc = "Memory-backed files and shared libraries for boot.py.",
    .m_size = 0,
    .m_methods = launcher_methods,
};

static PyObject *
create_launcher_module(void)
{
    return PyModule_Create(&launcher_module);
}

static PyStatus
set_string(PyConfig *config, wchar_t **field, const wchar_t *text)
{
    return PyConfig_SetString(config, field, text);
}

/* Sets every path, so that the interpreter does not search paths of the build
   host. */
static PyStatus
set_paths(PyConfig *config)
{
    wchar_t **fields[] = {
        &config->home,          &config->prefix,
        &config->base_prefix,   &config->exec_prefix,
        &config->base_exec_prefix,
    };
    for (size_t i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
        PyStatus status = set_string(config, fields[i], ARCHIVE_PATH);
        if (PyStatus_Exception(status)) {
            return status;
        }
    }
    config->module_search_paths_set = 1;
    return PyWideStringList_Append(&config->module_search_paths, ARCHIVE_PATH);
}

/* Sets sys.executable, which messages show too, to the executable's real path. */
static PyStatus
set_executable(PyConfig *config)
{
    char path[PATH_MAX];
    ssize_t size = readlink(EXECUTABLE_LINK, path, sizeof(path) - 1);
    if (size < 0) {
        return PyStatus_Error("cannot read " EXECUTABLE_LINK "; is /proc mounted?");
    }
    path[size] = '\0';
    PyStatus status = PyConfig_SetBytesString(config, &config->executable, path);
    if (PyStatus_Exception(status)) {
        return status;
    }
    return PyConfig_SetBytesString(config, &config->base_executable, path);
}

static PyStatus
configure(PyConfig *config, int argc, char **argv)
{
    config->site_import = 0;
    config->write_bytecode = 0;
    config->parse_argv = 0;
    /* Off in the isolated configuration. Without these handlers, a write to a
       connection closed by its peer terminates the process with SIGPIPE. */
    config->install_signal_handlers = 1;
    PyStatus status = PyConfig_SetBytesArgv(config, argc, argv);
    if (PyStatus_Exception(status)) {
        return status;
    }
    status = set_string(config, &config->run_command, RUN_COMMAND);
    if (PyStatus_Exception(status)) {
        return status;
    }
    status = set_executable(config);
    if (PyStatus_Exception(status)) {
        return status;
    }
    return set_paths(config);
}

int
main(int argc, char **argv)
{
    PyPreConfig preconfig;
    PyPreConfig_InitIsolatedConfig(&preconfig);
    /* An empty environment selects the C locale; text is UTF-8 regardless. */
    preconfig.utf8_mode = 1;
    PyStatus status = Py_PreInitialize(&preconfig);
    if (PyStatus_Exception(status)) {
        Py_ExitStatusException(status);
    }

    PyImport_AppendInittab("_launcher", create_launcher_module);
    PyConfig config;
    PyConfig_InitIsolatedConfig(&config);
    status = configure(&config, argc, argv);
    if (!PyStatus_Exception(status)) {
        status = Py_InitializeFromConfig(&config);
    }
    PyConfig_Clear(&config);
    if (PyStatus_Exception(status)) {
        Py_ExitStatusException(status);
    }
    return Py_RunMain();
}

/**
 * Reads hand-written TOML files, such as scenarios and the operators' file, and reports all errors of a file
 * at once, by line and key.
 */
package spurroad.toml;

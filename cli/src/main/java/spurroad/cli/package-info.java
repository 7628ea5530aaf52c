/**
 * The command line {@code spurroad}: one class per command, shared options, and result tables.
 */
package spurroad.cli;

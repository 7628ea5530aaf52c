/**
 * The program: the command line, the process with its signals, and one proxy with its components.
 *
 * <p>{@link spurroad.program.Main} runs a {@link spurroad.program.Command}. To serve,
 * {@link spurroad.program.ProxyProcess} handles the signals and starts a
 * {@link spurroad.program.ProxyService} after a {@link spurroad.program.WarmUp}, within a
 * {@link spurroad.program.StartBudget}. {@link spurroad.program.SettingsReload},
 * {@link spurroad.program.AdminOperations} and {@link spurroad.program.GracefulShutdown} then act on the
 * running proxy. Processes that share a listening socket are coordinated by {@link spurroad.program.restart}.
 */
package spurroad.program;

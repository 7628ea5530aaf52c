/**
 * The configuration of a proxy. It is read from a file and the environment and validated here; all defaults
 * are defined here.
 *
 * <p>{@link spurroad.configuration.ProxyConfiguration} is the whole configuration;
 * {@link spurroad.configuration.DeploymentSettings} is the part that the simulator provides too. Both are
 * immutable. An invalid setting causes an {@link spurroad.configuration.InvalidSettingException} with a
 * message of one line that names the key.
 */
package spurroad.configuration;

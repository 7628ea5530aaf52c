/**
 * A machine of the core: {@link spurroad.control.distribution.core.ControlMachine} combines a replica, a
 * publisher of committed changes and purges, and a grantor of leases to regional relays. It has no state of
 * its own and is not thread-safe.
 */
package spurroad.control.distribution.core;

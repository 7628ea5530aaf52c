/**
 * The messages between processes of the fleet, and the interface through which a process receives them:
 * {@link spurroad.control.distribution.message.Participant} handles messages and timers, and passes the
 * messages to send to an {@link spurroad.control.distribution.message.Outbox}.
 *
 * <p>Messages may be lost, duplicated, delayed and reordered; each class that handles them documents how it
 * recovers. Messages are immutable, except for arrays in them, which must not be written to.
 */
package spurroad.control.distribution.message;

package spurroad.control.distribution.message;

/** A message from a subscriber to its publisher, or to a process that may become its publisher. */
public sealed interface SubscriberMessage extends Message
    permits Message.Subscribe, Message.Unsubscribe, Message.Acknowledgement {}

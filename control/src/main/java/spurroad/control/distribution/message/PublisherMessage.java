package spurroad.control.distribution.message;

/** A message from a publisher to a subscriber. */
public sealed interface PublisherMessage extends Message
    permits Message.SubscriptionRejected, Message.Update {}

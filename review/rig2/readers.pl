#!/usr/bin/perl
# Clients that read values: readers.pl PORT CLIENTS COMMANDS SLOWLY SECONDS
# SLOWLY 1: each client sends all its commands at once and takes 16 KiB of the answers every 0.1 s.
# SLOWLY 0: each client sends a command when it has the answer to the one before, and takes answers at once.
# Their segments hold 1460 bytes, as on an Ethernet; the slow ones have receive buffers of 16 KiB.
use strict;
use warnings;
use Socket;
use IO::Handle;
use Time::HiRes qw(time sleep);
$| = 1;

use constant TCP => 6;
use constant TCP_MAXSEG => 2;
use constant SEGMENT => 1460;
use constant SMALL_BUFFER => 16384;

my ($port, $clients, $commands, $slowly, $seconds) = @ARGV;
my @clients;
for my $number (0 .. $clients - 1) {
    socket(my $socket, PF_INET, SOCK_STREAM, 0) or die "socket: $!";
    setsockopt($socket, TCP, TCP_MAXSEG, pack('i', SEGMENT)) or die "segment size: $!";
    setsockopt($socket, SOL_SOCKET, SO_RCVBUF, pack('i', SMALL_BUFFER)) if $slowly;
    connect($socket, pack_sockaddr_in($port, inet_aton('127.0.0.1'))) or die "connect: $!";
    $socket->blocking(0);
    push @clients, {socket => $socket, number => $number, sent => 0, skip => 0, text => '', answers => 0};
}
my (%counts, $bytes);
$bytes = 0;

sub send_command {
    my ($client, $count) = @_;
    my $text = '';
    for (1 .. $count) {
        $text .= "mg key-$client->{number}-$client->{sent} v Os$client->{number}x$client->{sent}"
            . " Pc=room-read,d=2400\r\n";
        $client->{sent}++;
    }
    syswrite($client->{socket}, $text);
}

# Finds the answers in what has come.
sub parse {
    my ($client, $piece) = @_;
    my $used = $client->{skip} < length $piece ? $client->{skip} : length $piece;
    $client->{skip} -= $used;
    $client->{text} .= substr($piece, $used);
    while ($client->{skip} == 0 && $client->{text} =~ s/^([^\r\n]*)\r\n//) {
        my $line = $1;
        $client->{answers}++;
        if ($line =~ /^VA (\d+)/) {
            $counts{VA}++;
            $client->{skip} = $1 + 2;
            my $held = length $client->{text};
            my $skipped = $client->{skip} < $held ? $client->{skip} : $held;
            substr($client->{text}, 0, $skipped) = '';
            $client->{skip} -= $skipped;
        } else {
            $line =~ s/^(\S+ \S+).*/$1/;
            $counts{$line}++;
        }
    }
}

send_command($_, $slowly ? $commands : 1) for @clients;
print "sent\n";
my $end = time + $seconds;
while (time < $end) {
    my $open = 0;
    for my $client (@clients) {
        next if $client->{over};
        $open++;
        my $got = sysread($client->{socket}, my $piece, $slowly ? 16384 : 1 << 20);
        if (!defined $got) {
            next if $!{EAGAIN};
            $client->{over} = 1;
            $counts{'connection reset'}++;
        } elsif ($got == 0) {
            $client->{over} = 1;
            $counts{'end of stream'}++;
        } else {
            $bytes += $got;
            parse($client, $piece);
            if ($client->{skip} == 0 && $client->{answers} == $commands) {
                $client->{over} = 1;
                close $client->{socket};
            } elsif (!$slowly && $client->{skip} == 0 && $client->{answers} == $client->{sent}) {
                send_command($client, 1);
            }
        }
    }
    last unless $open;
    sleep($slowly ? 0.1 : 0.002);
}
print "read $bytes bytes, ", join(', ', map {"$_: $counts{$_}"} sort keys %counts), "\n";

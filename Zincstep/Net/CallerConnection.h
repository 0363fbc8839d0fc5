#pragma once

#include <array>
#include <asio.hpp>
#include <memory>
#include <string>
#include <unordered_set>

#include "Zincstep/Net/CallerLimits.h"
#include "Zincstep/Net/HttpParser.h"

namespace zincstep {

class CallerConnection;

/// A complete request with the head as it came.
struct CallerMessage {
  HttpHead head;
  std::string body;
  /// When its last byte was read.
  Instant readAt;
};

/// Takes the requests of callers, on the loop's thread.
class CallerHandler {
 public:
  virtual ~CallerHandler() = default;

  /// A whole request has come; it is answered through the connection.
  virtual void OnRequest(const std::shared_ptr<CallerConnection>& aConnection,
                         CallerMessage aMessage) = 0;
  /// The caller has left before its request was answered.
  virtual void OnCallerDisconnected(CallerConnection& aConnection) = 0;
};

/// One connection of a caller; one request at a time.
///
/// Reading goes on while a request runs, so that a caller that leaves is
/// noticed at once. RESTinio reads on as well, but on a thread of its own:
/// each event of an answer would pay for a thread's wake-up, which costs
/// more on these VMs than the event itself; so this side is Asio's too.
class CallerConnection final
    : public std::enable_shared_from_this<CallerConnection>,
      private HttpParserListener {
 public:
  CallerConnection(asio::ip::tcp::socket aSocket, CallerHandler& aHandler,
                   const CallerLimits& aLimits, const Clock& aClock);

  /// Begins to read.
  void Start();
  /// Answers the present request whole.
  void Answer(int aStatus, const HttpHeaders& aHeaders, std::string_view aBody);
  /// Begins an answer of unknown length, in chunks.
  void BeginChunks(int aStatus, const HttpHeaders& aHeaders);
  /// Appends a part to an answer in chunks.
  void AppendChunk(std::string_view aPart);
  /// Ends an answer in chunks as complete.
  void EndChunks();
  /// Closes at once, so that an answer that has begun looks cut short.
  void Abort();
  /// Closes once all bytes so far are out: an answer in chunks looks cut.
  void CloseWhenSent();
  /// Closes once the present answer is out, or now where none is due.
  void CloseWhenDone();
  /// The next answer is the connection's last.
  void DisableKeepAlive() { this->closesAfter = true; }
  /// Closes where a limit of time has passed.
  void CheckTimeouts(Instant aNow);

  /// Bytes that the caller has not taken yet.
  std::size_t PendingBytes() const;
  /// Whether a request waits for its answer.
  bool IsBusy() const { return this->isBusy; }
  bool IsClosed() const { return this->isClosed; }

 private:
  void Read();
  void OnRead(const asio::error_code& aError, std::size_t aSize);
  void Consume();
  void Refuse(const Error& aError);
  void Flush();
  void OnWritten(const asio::error_code& aError);
  void WriteHead(int aStatus, const HttpHeaders& aHeaders);
  void FinishAnswer();
  void Close();
  void OnHead(HttpHead aHead) override;
  void OnBody(std::string_view aPart) override;
  void OnMessageEnd() override {}

  asio::ip::tcp::socket socket;
  CallerHandler& handler;
  const CallerLimits& limits;
  const Clock& clock;
  HttpParser parser;
  CallerMessage message;
  std::array<char, 4 << 10> buffer{};
  /// Bytes that came and belong to a later request.
  std::string unread;
  std::string pending;
  std::string writing;
  Instant lastActive;
  bool isReading = false;
  bool isWriting = false;
  bool isBusy = false;
  bool isClosed = false;
  bool closesAfter = false;
  bool closesWhenSent = false;
  bool bodyTooLarge = false;
};

/// Accepts callers' connections on one address and keeps their set.
class CallerListener {
 public:
  CallerListener(asio::io_context& aLoop, CallerHandler& aHandler,
                 const Clock& aClock);

  /// Starts to accept at `host:port`; fails where it is taken.
  Result<void> Start(const std::string& aAddress);
  /// New limits, in force for all connections.
  void SetLimits(const CallerLimits& aLimits) { this->limits = aLimits; }
  /// Closes resting connections and ends the others after their answer.
  void CloseIdle();
  /// Each connection closes after its next answer, which says so.
  void DisableKeepAlive();
  /// Enforces limits of time; to be called several times a second.
  void Tick();
  /// Requests that wait for their answer.
  std::size_t Busy() const;
  /// Bytes of answers that callers have not taken yet.
  std::size_t PendingBytes() const;
  /// Port that is listened on.
  std::uint16_t Port() const;

 private:
  void Accept();

  asio::io_context& loop;
  CallerHandler& handler;
  const Clock& clock;
  CallerLimits limits;
  asio::ip::tcp::acceptor acceptor;
  std::unordered_set<std::shared_ptr<CallerConnection>> connections;
  bool keeps = true;
};

}  // namespace zincstep

#ifndef ROSEARCH_NET_FWD_H_
#define ROSEARCH_NET_FWD_H_

namespace rosearch {

class client_memory;
class http_server;
class peer_transport;
struct client_memory_figures;
struct http_call;
struct http_response;
struct http_server_settings;

}  // namespace rosearch

#endif  // ROSEARCH_NET_FWD_H_

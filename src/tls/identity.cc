#include "tls/identity.h"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <array>
#include <ctime>
#include <fstream>
#include <iterator>
#include <memory>
#include <utility>
#include <vector>

#include "tls/openssl_error.h"

namespace ochrespring::tls {

namespace {

struct BioDeleter {
  void operator()(BIO* bio) const { BIO_free(bio); }
};
struct CertificateDeleter {
  void operator()(X509* certificate) const { X509_free(certificate); }
};
struct KeyDeleter {
  void operator()(EVP_PKEY* key) const { EVP_PKEY_free(key); }
};

using BioPointer = std::unique_ptr<BIO, BioDeleter>;
using CertificatePointer = std::unique_ptr<X509, CertificateDeleter>;
using KeyPointer = std::unique_ptr<EVP_PKEY, KeyDeleter>;

BioPointer open_memory(const std::string& text) {
  return BioPointer(BIO_new_mem_buf(text.data(), static_cast<int>(text.size())));
}

/// Never asks a terminal for a passphrase.
int no_passphrase(char* /*buffer*/, int /*size*/, int /*writing*/, void* /*user*/) {
  return 0;
}

Result<std::vector<CertificatePointer>, TlsError> parse_certificates(const std::string& file,
                                                                     const std::string& pem) {
  std::vector<CertificatePointer> certificates;
  const BioPointer bio = open_memory(pem);
  while (X509* certificate = PEM_read_bio_X509(bio.get(), nullptr, no_passphrase, nullptr)) {
    certificates.emplace_back(certificate);
  }
  const bool at_end = ERR_GET_REASON(ERR_peek_last_error()) == PEM_R_NO_START_LINE;
  const std::string detail = take_openssl_error();
  if (certificates.empty() || !at_end) {
    return fail(TlsErrc::kMalformed, file + ": not a PEM certificate: " + detail);
  }
  return certificates;
}

Result<KeyPointer, TlsError> parse_key(const std::string& file, const std::string& pem) {
  const BioPointer bio = open_memory(pem);
  KeyPointer key(PEM_read_bio_PrivateKey(bio.get(), nullptr, no_passphrase, nullptr));
  const std::string detail = take_openssl_error();
  if (!key) {
    return fail(TlsErrc::kMalformed, file + ": not an unencrypted PEM private key: " + detail);
  }
  return key;
}

WallTime to_wall_time(const ASN1_TIME* time) {
  std::tm broken_down{};
  ASN1_TIME_to_tm(time, &broken_down);
  return WallTime(std::chrono::seconds(timegm(&broken_down)));
}

std::string to_text(WallTime time) {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch());
  const std::time_t count = seconds.count();
  std::tm broken_down{};
  gmtime_r(&count, &broken_down);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &broken_down);
  return text.data();
}

std::string subject_of(X509* certificate) {
  std::array<char, 256> text{};
  X509_NAME_oneline(X509_get_subject_name(certificate), text.data(), text.size());
  return text.data();
}

Result<void, TlsError> check_validity(const std::string& file,
                                      const std::vector<CertificatePointer>& certificates,
                                      WallTime now) {
  for (const CertificatePointer& certificate : certificates) {
    const std::string name = file + ": " + subject_of(certificate.get());
    const WallTime begin = to_wall_time(X509_get0_notBefore(certificate.get()));
    const WallTime end = to_wall_time(X509_get0_notAfter(certificate.get()));
    if (now < begin) {
      return fail(TlsErrc::kNotYetValid, name + " is not valid before " + to_text(begin));
    }
    if (now > end) {
      return fail(TlsErrc::kExpired, name + " expired at " + to_text(end));
    }
  }
  return outcome::success();
}

}  // namespace

Result<Identity, TlsError> check_identity(const IdentityFiles& files, std::string certificate_pem,
                                          std::string private_key_pem, std::string authority_pem,
                                          WallTime now) {
  BOOST_OUTCOME_TRY(chain, parse_certificates(files.certificate, certificate_pem));
  BOOST_OUTCOME_TRY(key, parse_key(files.private_key, private_key_pem));
  if (X509_check_private_key(chain.front().get(), key.get()) != 1) {
    ERR_clear_error();
    return fail(TlsErrc::kKeyMismatch,
                files.private_key + ": is not the key of the certificate in " + files.certificate);
  }
  BOOST_OUTCOME_TRY(check_validity(files.certificate, chain, now));
  if (!authority_pem.empty()) {
    BOOST_OUTCOME_TRY(authorities, parse_certificates(files.authority, authority_pem));
    BOOST_OUTCOME_TRY(check_validity(files.authority, authorities, now));
  }
  Identity identity;
  identity.subject = subject_of(chain.front().get());
  identity.not_before = to_wall_time(X509_get0_notBefore(chain.front().get()));
  identity.not_after = to_wall_time(X509_get0_notAfter(chain.front().get()));
  identity.certificate_pem = std::move(certificate_pem);
  identity.private_key_pem = std::move(private_key_pem);
  identity.authority_pem = std::move(authority_pem);
  return identity;
}

Result<std::string, TlsError> read_pem_file(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
  if (!stream || stream.bad()) {
    return fail(TlsErrc::kUnreadable, path + ": cannot be read");
  }
  return text;
}

Result<Identity, TlsError> load_identity(const IdentityFiles& files, WallTime now) {
  BOOST_OUTCOME_TRY(certificate, read_pem_file(files.certificate));
  BOOST_OUTCOME_TRY(key, read_pem_file(files.private_key));
  std::string authority;
  if (!files.authority.empty()) {
    BOOST_OUTCOME_TRY(text, read_pem_file(files.authority));
    authority = std::move(text);
  }
  return check_identity(files, std::move(certificate), std::move(key), std::move(authority), now);
}

}  // namespace ochrespring::tls
